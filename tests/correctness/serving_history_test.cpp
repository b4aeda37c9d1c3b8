#include "tests/fakes/expected_answer.h"
#include "tests/fakes/serving_fault.h"
#include "tests/fakes/serving_world.h"

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
// The last fault heals within 25 s.
constexpr time_point waveTime(40s);
constexpr time_point endOfHistory(170s);
constexpr duration heldUp = 300ms;

// What one caller may be told, from a model without entries, agents and messages: a request is a function of its body
// that a runner computed some number of times.
struct naive_request {
    std::string answer;
    bool mayRepeat = false;
    int runs = 0;

    bool allows(const caller_record& caller) const
    {
        if (runs > 1 && !mayRepeat)
            return false;
        if (caller.completed)
            return runs > 0 && caller.onMessage == answer;
        if (answer.compare(0, caller.onMessage.size(), caller.onMessage) != 0)
            return false;
        if (!caller.error)
            return caller.left || caller.entryDied;
        if (caller.error->execution == execution_outcome::NotRun)
            return runs == 0 && caller.onMessage.empty();
        return true;
    }
};

naive_request modelOf(const serving_world& world, const caller_record& caller)
{
    naive_request model;
    model.mayRepeat = caller.kind != request_kind::NonIdempotentCall;
    model.runs = world.executions(caller.request.id);
    model.answer = caller.kind == request_kind::ChatStream
        ? expectedStream(caller.request.body, caller.request.maxTokens)
        : expectedServiceAnswer(caller.request.body);
    return model;
}

enum class history_kind {
    AnyFaults,
    // Any faults, and a network that loses, delays and reorders messages of intact connections.
    AnyFaultsAndMessages,
    // Drains, planned stops of agents and slow links.
    PlannedOperations,
};

// A random run of callers and faults on several entries and agents.
class history {
public:
    history(std::uint64_t seed, history_kind kind)
        : m_random(seed)
        , m_kind(kind)
        , m_isChat(draw(2) == 0)
        , m_world(settingsFor(seed, m_isChat))
    {
        m_world.network().deliverLostFrames(kind != history_kind::PlannedOperations && draw(4) == 0);
        if (kind == history_kind::AnyFaultsAndMessages)
            m_world.events().at(time_point(400ms), [this, seed] { m_world.network().disturb(seed); });
    }

    void run()
    {
        for (int call = 0; call < callsPerHistory; ++call)
            m_world.events().at(randomTime(), [this] { callOnce(); });
        for (int fault = 0; fault < faultsPerHistory; ++fault)
            m_world.events().at(randomTime(), [this] { faultOnce(); });
        m_world.events().at(waveTime - 2s, [this] { heal(); });
        m_world.events().at(waveTime, [this] { callOfEachEntry(); });
        m_world.events().runUntil(endOfHistory);
    }

    const serving_world& world() const { return m_world; }

    // Requests that were sent after all faults had healed.
    const std::vector<request_id>& wave() const { return m_wave; }

private:
    static world_settings settingsFor(std::uint64_t seed, bool isChat)
    {
        world_settings settings;
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

    void callOnce() { m_last = m_world.call(draw(m_world.entries()), randomKind(), draw(4) == 0); }

    void callOfEachEntry()
    {
        for (std::size_t entry = 0; entry < m_world.entries(); ++entry)
            m_wave.push_back(m_world.call(entry, randomKind()));
    }

    void faultOnce()
    {
        const std::size_t entry = draw(m_world.entries());
        const std::size_t agent = draw(m_world.agents());
        if (m_kind == history_kind::PlannedOperations) {
            plannedOnce(entry);
            return;
        }
        if (draw(servingFaults + 1) == servingFaults) {
            holdUp(entry);
            return;
        }
        const auto fault = static_cast<serving_fault>(draw(servingFaults));
        if (fault == serving_fault::CallerLeaves && m_last.value().empty())
            return;
        inject(m_world, fault, m_last, entry, agent);
    }

    // Ends the faults that do not end on their own.
    void heal()
    {
        for (std::size_t agent = 0; agent < m_world.agents(); ++agent) {
            m_world.serveAgain(agent);
            m_world.agent(agent).runner().stopBreaking();
            for (std::size_t entry = 0; entry < m_world.entries(); ++entry)
                m_world.network().restore(m_world.entry(entry).id(), m_world.agent(agent).id());
        }
    }

    // One agent keeps serving, so that every request has somewhere to go.
    void plannedOnce(std::size_t entry)
    {
        constexpr std::array planned { serving_fault::AgentStopped, serving_fault::RunnerDrained,
            serving_fault::LinkLate };
        const serving_fault fault = planned.at(draw(planned.size()));
        const std::size_t stoppable = draw(m_world.agents() - 1);
        inject(m_world, fault, m_last, entry, fault == serving_fault::LinkLate ? m_world.agents() - 1 : stoppable);
    }

    // Messages of one entry reach the network late, and may find another connection than the one they were meant for.
    void holdUp(std::size_t entry)
    {
        const daemon_id id = m_world.entry(entry).id();
        m_world.network().setHandOver(id, heldUp);
        m_world.events().after(1s, [this, id] { m_world.network().setHandOver(id, duration::zero()); });
    }

    std::mt19937_64 m_random;
    history_kind m_kind;
    bool m_isChat;
    request_id m_last;
    std::vector<request_id> m_wave;
    serving_world m_world;
};

void checkModel(const history& run, std::uint64_t seed)
{
    for (const auto& [id, caller] : run.world().callers())
        EXPECT_TRUE(modelOf(run.world(), caller).allows(caller)) << "seed " << seed << ", " << id.value();
}

void count(const history& run, std::map<std::string, int>& told)
{
    for (const auto& [id, caller] : run.world().callers()) {
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

// Guards against violations that need more than two faults, several requests, or an order that the matrix lacks.
TEST(ServingHistory, KeepsInvariantsUnderRandomFaults)
{
    std::map<std::string, int> told;
    for (std::uint64_t seed = 1; seed <= histories; ++seed) {
        history run(seed, history_kind::AnyFaults);
        run.run();
        for (const std::string& violation : run.world().violations(false))
            ADD_FAILURE() << "seed " << seed << ": " << violation;
        checkModel(run, seed);
        count(run, told);
    }
    print("random faults", told);
}

// Guards against wrong words to callers when messages overtake each other or are lost: a cancel or query before the
// submit, parts of an answer that are missing, repeated or late.
TEST(ServingHistory, KeepsInvariantsWhenMessagesAreLostOrOvertake)
{
    std::map<std::string, int> told;
    for (std::uint64_t seed = 1; seed <= histories; ++seed) {
        history run(seed, history_kind::AnyFaultsAndMessages);
        run.run();
        for (const std::string& violation : run.world().violations(false))
            ADD_FAILURE() << "seed " << seed << ": " << violation;
        checkModel(run, seed);
        count(run, told);
    }
    print("random faults and messages", told);
}

// Guards against faults that outlast their cause, such as a limit or a runner that is never given back.
TEST(ServingHistory, ServesEveryRequestAfterAllFaultsHealed)
{
    for (std::uint64_t seed = 1; seed <= histories; ++seed) {
        history run(seed, history_kind::AnyFaults);
        run.run();
        for (const request_id& id : run.wave()) {
            const caller_record& caller = run.world().callers().at(id);
            // A planned stop of an entry waits up to a minute for the outcome of calls.
            if (caller.arrivedAtStop)
                continue;
            EXPECT_TRUE(caller.completed) << "seed " << seed << ", " << id.value() << ": "
                                          << (caller.error ? caller.error->code : "no answer");
        }
    }
}

// Guards against drains, planned stops and slow links that cost a request its answer.
TEST(ServingHistory, AnswersEveryRequestUnderPlannedOperations)
{
    std::map<std::string, int> told;
    for (std::uint64_t seed = 1; seed <= histories; ++seed) {
        history run(seed, history_kind::PlannedOperations);
        run.run();
        for (const std::string& violation : run.world().violations(true))
            ADD_FAILURE() << "seed " << seed << ": " << violation;
        checkModel(run, seed);
        count(run, told);
    }
    print("planned operations", told);
}

}
