#include "tests/fakes/expected_answer.h"
#include "tests/fakes/serving_fault.h"
#include "tests/fakes/serving_simulation.h"

#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace sardinelb::fakes {

namespace {

using namespace std::chrono_literals;

constexpr int histories = 400;
constexpr int callsPerHistory = 40;
constexpr int faultsPerHistory = 8;
constexpr duration busyTime = 12s;
// The last fault ends within 25 s.
constexpr time_point finalRequestsAt(40s);
constexpr time_point endOfHistory(170s);
constexpr duration sendDelay = 300ms;

// Reference model of the answers that a caller may receive, without entries, agents and messages: a request is a
// function of its body that runners have evaluated a number of times.
struct request_model {
    std::string answer;
    bool mayRepeat = false;
    int runs = 0;

    bool allows(const caller_record& caller) const
    {
        if (runs > 1 && !mayRepeat)
            return false;
        if (caller.completed)
            return runs > 0 && caller.receivedBody == answer;
        if (answer.compare(0, caller.receivedBody.size(), caller.receivedBody) != 0)
            return false;
        if (!caller.error)
            return caller.disconnected || caller.entryDied;
        if (caller.error->execution == execution_outcome::NotRun)
            return runs == 0 && caller.receivedBody.empty();
        return true;
    }
};

request_model modelOf(const serving_simulation& simulation, const caller_record& caller)
{
    request_model model;
    model.mayRepeat = caller.kind != request_kind::NonIdempotentCall;
    model.runs = simulation.executions(caller.request.id);
    model.answer = caller.kind == request_kind::ChatStream
        ? expectedStream(caller.request.body, caller.request.maxTokens)
        : expectedServiceAnswer(caller.request.body);
    return model;
}

enum class history_kind {
    AnyFaults,
    // Any faults, and a network that loses, delays and reorders the messages of intact connections.
    AnyFaultsAndMessages,
    // Drains, planned stops of agents and slow links.
    PlannedOperations,
};

// A random history of requests and faults on several entries and agents.
class history {
public:
    history(std::uint64_t seed, history_kind kind)
        : m_random(seed)
        , m_kind(kind)
        , m_isChat(draw(2) == 0)
        , m_simulation(settingsFor(seed, m_isChat))
    {
        m_simulation.network().deliverLostFrames(kind != history_kind::PlannedOperations && draw(4) == 0);
        if (kind == history_kind::AnyFaultsAndMessages)
            m_simulation.events().at(
                time_point(400ms), [this, seed] { m_simulation.network().injectMessageFaults(seed); });
    }

    void run()
    {
        for (int call = 0; call < callsPerHistory; ++call)
            m_simulation.events().at(randomTime(), [this] { sendRandomCall(); });
        for (int fault = 0; fault < faultsPerHistory; ++fault)
            m_simulation.events().at(randomTime(), [this] { injectRandomFault(); });
        m_simulation.events().at(finalRequestsAt - 2s, [this] { heal(); });
        m_simulation.events().at(finalRequestsAt, [this] { callEveryEntry(); });
        m_simulation.events().runUntil(endOfHistory);
    }

    const serving_simulation& simulation() const { return m_simulation; }

    // Requests sent after all faults have ended.
    const std::vector<request_id>& finalRequests() const { return m_finalRequests; }

private:
    static simulation_settings settingsFor(std::uint64_t seed, bool isChat)
    {
        simulation_settings settings;
        settings.entries = 3;
        settings.agents = 3;
        settings.seed = seed;
        settings.slots = 2;
        settings.kind = isChat ? pool_kind::Model : pool_kind::Service;
        return settings;
    }

    std::size_t draw(std::size_t below) { return std::uniform_int_distribution<std::size_t>(0, below - 1)(m_random); }

    time_point randomTime()
    {
        const duration offset(std::uniform_int_distribution<duration::rep>(0, busyTime.count())(m_random));
        return time_point(500ms) + offset;
    }

    request_kind randomKind()
    {
        if (m_isChat)
            return request_kind::ChatStream;
        return draw(2) == 0 ? request_kind::NonIdempotentCall : request_kind::IdempotentCall;
    }

    void sendRandomCall() { m_last = m_simulation.call(draw(m_simulation.entries()), randomKind(), draw(4) == 0); }

    void callEveryEntry()
    {
        for (std::size_t entry = 0; entry < m_simulation.entries(); ++entry)
            m_finalRequests.push_back(m_simulation.call(entry, randomKind()));
    }

    void injectRandomFault()
    {
        const std::size_t entry = draw(m_simulation.entries());
        const std::size_t agent = draw(m_simulation.agents());
        if (m_kind == history_kind::PlannedOperations) {
            injectPlannedOperation(entry);
            return;
        }
        if (draw(servingFaults + 1) == servingFaults) {
            delaySends(entry);
            return;
        }
        const auto fault = static_cast<serving_fault>(draw(servingFaults));
        if (fault == serving_fault::CallerLeaves && m_last.value().empty())
            return;
        inject(m_simulation, fault, m_last, entry, agent);
    }

    // Ends the faults that do not end by themselves.
    void heal()
    {
        for (std::size_t agent = 0; agent < m_simulation.agents(); ++agent) {
            m_simulation.serveAgain(agent);
            m_simulation.agent(agent).runner().stopBreaking();
            for (std::size_t entry = 0; entry < m_simulation.entries(); ++entry)
                m_simulation.network().restore(m_simulation.entry(entry).id(), m_simulation.agent(agent).id());
        }
    }

    // One agent keeps serving, so that every request can be served.
    void injectPlannedOperation(std::size_t entry)
    {
        constexpr std::array planned { serving_fault::AgentStopped, serving_fault::RunnerDrained,
            serving_fault::LinkLate };
        const serving_fault fault = planned.at(draw(planned.size()));
        const std::size_t stoppable = draw(m_simulation.agents() - 1);
        inject(m_simulation, fault, m_last, entry,
            fault == serving_fault::LinkLate ? m_simulation.agents() - 1 : stoppable);
    }

    // Delays the messages of one entry, so that they may be sent over another connection than intended.
    void delaySends(std::size_t entry)
    {
        const daemon_id id = m_simulation.entry(entry).id();
        m_simulation.network().setSendDelay(id, sendDelay);
        m_simulation.events().after(1s, [this, id] { m_simulation.network().setSendDelay(id, duration::zero()); });
    }

    std::mt19937_64 m_random;
    history_kind m_kind;
    bool m_isChat;
    request_id m_last;
    std::vector<request_id> m_finalRequests;
    serving_simulation m_simulation;
};

void checkModel(const history& run, std::uint64_t seed)
{
    for (const auto& [id, caller] : run.simulation().callers())
        EXPECT_TRUE(modelOf(run.simulation(), caller).allows(caller)) << "seed " << seed << ", " << id.value();
}

void count(const history& run, std::map<std::string, int>& told)
{
    for (const auto& [id, caller] : run.simulation().callers()) {
        const std::string end = caller.completed ? "completed"
            : caller.error                       ? caller.error->code
                                                 : "no final action";
        ++told[end];
    }
}

void print(const char* name, const std::map<std::string, int>& told)
{
    std::printf("%s:", name);
    for (const auto& [end, times] : told)
        std::printf(" %s %d", end.c_str(), times);
    std::printf("\n");
}

}

// Guards against violations that need more than two faults, several requests, or an order that the fault matrix lacks.
TEST(ServingHistory, KeepsInvariantsUnderRandomFaults)
{
    std::map<std::string, int> told;
    for (std::uint64_t seed = 1; seed <= histories; ++seed) {
        history run(seed, history_kind::AnyFaults);
        run.run();
        for (const std::string& violation : run.simulation().violations(false))
            ADD_FAILURE() << "seed " << seed << ": " << violation;
        checkModel(run, seed);
        count(run, told);
    }
    print("random faults", told);
}

// Guards against wrong answers to callers when messages are lost or reordered: a cancel or query before the submit, and
// missing, duplicate or late parts of an answer.
TEST(ServingHistory, KeepsInvariantsWhenMessagesAreLostOrOvertake)
{
    std::map<std::string, int> told;
    for (std::uint64_t seed = 1; seed <= histories; ++seed) {
        history run(seed, history_kind::AnyFaultsAndMessages);
        run.run();
        for (const std::string& violation : run.simulation().violations(false))
            ADD_FAILURE() << "seed " << seed << ": " << violation;
        checkModel(run, seed);
        count(run, told);
    }
    print("random faults and messages", told);
}

// Guards against effects that outlast a fault, such as a limit that is never released or a runner that stays excluded.
TEST(ServingHistory, ServesEveryRequestAfterAllFaultsHealed)
{
    for (std::uint64_t seed = 1; seed <= histories; ++seed) {
        history run(seed, history_kind::AnyFaults);
        run.run();
        for (const request_id& id : run.finalRequests()) {
            const caller_record& caller = run.simulation().callers().at(id);
            // A planned stop of an entry waits up to one minute for the outcomes of calls.
            if (caller.arrivedAtStop)
                continue;
            EXPECT_TRUE(caller.completed) << "seed " << seed << ", " << id.value() << ": "
                                          << (caller.error ? caller.error->code : "no answer");
        }
    }
}

// Guards against drains, planned stops and slow links that fail a request.
TEST(ServingHistory, AnswersEveryRequestUnderPlannedOperations)
{
    std::map<std::string, int> told;
    for (std::uint64_t seed = 1; seed <= histories; ++seed) {
        history run(seed, history_kind::PlannedOperations);
        run.run();
        for (const std::string& violation : run.simulation().violations(true))
            ADD_FAILURE() << "seed " << seed << ": " << violation;
        checkModel(run, seed);
        count(run, told);
    }
    print("planned operations", told);
}

}
