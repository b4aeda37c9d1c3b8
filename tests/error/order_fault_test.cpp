// Fault matrix of leases and orders: simulates two holders, one agent and one runner in virtual time and injects every fault
// at every step, alone and in pairs.

#include "coordination/leases/lease.h"
#include "coordination/leases/order_gate.h"
#include "coordination/leases/order_issuer.h"
#include "state/memory_table.h"

#include <array>
#include <cstdio>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <variant>
#include <vector>

using namespace sardinelb;
using namespace std::chrono_literals;

namespace {

const runner_id theRunner("runner-1");
constexpr int commandCount = 3;
// Maximum number of runs of a pair of faults until both have been injected.
constexpr std::uint64_t maxAttempts = 8;
constexpr duration tickPeriod = 100ms;

enum class fault {
    HolderPaused,
    HolderKilled,
    AgentPaused,
    AgentKilled,
    MessageLate,
    MessageLost,
    TableDown,
    AnswerLost,
};
constexpr std::array faultNames = { "holder-paused", "holder-killed", "agent-paused", "agent-killed", "message-late",
    "message-lost", "table-down", "answer-lost" };

enum class step {
    LeaseRead,
    LeaseAcquire,
    LeaseRenew,
    OrderRead,
    OrderInsert,
    OrderAdopt,
    OrderMessage,
    GateRead,
    GateMark,
    RunnerState,
    RunnerOrder,
};
constexpr std::array stepNames = { "lease-read", "lease-acquire", "lease-renew", "order-read", "order-insert",
    "order-adopt", "order-message", "gate-read", "gate-mark", "runner-state", "runner-order" };

// A fault that is injected at one occurrence of a step.
struct injection {
    fault what;
    step where;
    int skip = 0;
    bool isDone = false;
};

// A simulated process with its clock and its running state.
struct process {
    std::string name;
    double rate = 1;
    duration offset {};
    std::uint64_t lifetime = 1;
    bool isAlive = true;
    time_point pausedUntil = time_point::min();
    time_point restartAt;
    // Only for holders.
    std::unique_ptr<lease> held;
    std::unique_ptr<order_issuer> issuer;
    // Only for the agent.
    std::unique_ptr<order_gate> gate;

    time_point localTime(time_point now) const
    {
        const auto passed = static_cast<double>(now.time_since_epoch().count());
        return time_point(duration(static_cast<duration::rep>(passed * rate)) + offset);
    }
};

// A runner that records which orders changed its state.
struct fake_runner {
    bool checksNumbers = false;
    runner_state state;
    std::vector<runner_order> effects;
    // Number of orders for a state that the runner already has or is reaching.
    int repeated = 0;
    time_point loadedAt;

    runner_outcome apply(const runner_order& order, time_point now)
    {
        if (checksNumbers && order.number < state.highestNumber)
            return runner_outcome::StaleNumber;
        if (checksNumbers)
            state.highestNumber = order.number;
        const bool isThere = state.models.contains(order.subject) || state.loading.contains(order.subject);
        const bool isLoad = order.kind == order_kind::LoadModel;
        if (isLoad == isThere) {
            ++repeated;
            return runner_outcome::Done;
        }
        effects.push_back(order);
        if (isLoad) {
            state.loading.insert(order.subject);
            loadedAt = now + 1s;
        } else {
            state.models.erase(order.subject);
            state.loading.erase(order.subject);
        }
        return runner_outcome::Done;
    }

    void advance(time_point now)
    {
        if (now < loadedAt)
            return;
        state.models.merge(state.loading);
        state.loading.clear();
    }
};

class simulation {
public:
    simulation(std::vector<injection> injections, bool checksNumbers, std::uint64_t seed)
        : m_random(seed)
        , m_injections(std::move(injections))
    {
        m_runner.checksNumbers = checksNumbers;
        m_holders = { makeProcess("a"), makeProcess("b") };
        m_agent = makeProcess("agent");
        for (auto& holder : m_holders)
            start(*holder);
        start(*m_agent);
    }

    // Runs until all commands are done and the faults are over. Returns the failure, or an empty text.
    std::string run()
    {
        std::optional<time_point> doneAt;
        while (m_now < time_point(200s)) {
            m_now += tickPeriod;
            runDueEvents();
            advance();
            if (!m_failure.empty())
                return m_failure;
            if (!doneAt && isDone())
                doneAt = m_now;
            // Late messages arrive and paused processes resume within 20 s.
            if (doneAt && m_now > *doneAt + 20s)
                return checkEffects();
        }
        return "the commands are not done after 200 s";
    }

    bool allInjected() const
    {
        return std::ranges::all_of(m_injections, [](const injection& each) { return each.isDone; });
    }

private:
    std::shared_ptr<process> makeProcess(std::string name)
    {
        auto made = std::make_shared<process>();
        made->name = std::move(name);
        made->rate = std::uniform_real_distribution(0.97, 1.03)(m_random);
        made->offset = duration(std::uniform_int_distribution<duration::rep>(0, 1000000000)(m_random));
        return made;
    }

    void start(process& each)
    {
        each.isAlive = true;
        if (&each == m_agent.get()) {
            each.gate = std::make_unique<order_gate>(
                theRunner, incarnation(each.lifetime), order_timing(), each.localTime(m_now));
            return;
        }
        each.held = std::make_unique<lease>(
            "orders/lease", daemon_id(each.name), incarnation(each.lifetime), lease_timing());
        each.issuer = std::make_unique<order_issuer>(order_timing());
    }

    void kill(process& each, duration pause)
    {
        each.isAlive = false;
        ++each.lifetime;
        each.restartAt = m_now + pause;
        each.pausedUntil = time_point::min();
    }

    bool isRunning(const process& each) const { return each.isAlive && m_now >= each.pausedUntil; }

    // Runs `then` at the given time, or when the process resumes if it is paused then, but never in another incarnation of the
    // process.
    void deliverTo(const std::shared_ptr<process>& to, time_point at, std::function<void()> then)
    {
        m_events.emplace(at, [this, to, lifetime = to->lifetime, then = std::move(then)] {
            if (to->lifetime != lifetime || !to->isAlive)
                return;
            if (m_now < to->pausedUntil)
                deliverTo(to, to->pausedUntil, then);
            else
                then();
        });
    }

    duration latency() { return duration(std::uniform_int_distribution<duration::rep>(1000, 60000)(m_random)); }

    void runDueEvents()
    {
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            const auto then = m_events.begin()->second;
            m_events.erase(m_events.begin());
            then();
        }
        m_runner.advance(m_now);
    }

    // Delivery of one call.
    struct delivery {
        time_point arrival;
        bool isLost = false;
        bool isAnswerLost = false;
        // The transport detects the loss and reports an unknown outcome to the caller.
        bool isLossSeen = false;
    };

    process& actingHolder()
    {
        for (auto& holder : m_holders) {
            if (holder->isAlive && holder->held->canAct(holder->localTime(m_now)))
                return *holder;
        }
        return *m_holders[0];
    }

    // Applies the injections of the step. If `isAfter` is drawn, a process that is paused or killed here has already sent the
    // call; otherwise a paused process sends it when it resumes, and a killed one never sends it.
    delivery startDelivery(step where, process& sender)
    {
        delivery result { m_now + latency() };
        for (injection& each : m_injections) {
            if (each.isDone || each.where != where || each.skip-- > 0)
                continue;
            each.isDone = true;
            inject(each.what, where, sender, result);
        }
        return result;
    }

    void inject(fault what, step where, process& sender, delivery& result)
    {
        const bool isAfter = std::bernoulli_distribution(0.5)(m_random);
        const bool isHolderStep = where <= step::OrderMessage;
        process& holder = isHolderStep ? sender : actingHolder();
        process& target = what == fault::AgentPaused || what == fault::AgentKilled ? *m_agent : holder;
        switch (what) {
        case fault::HolderPaused:
        case fault::AgentPaused:
            target.pausedUntil = m_now + 15s;
            if (&target == &sender && !isAfter)
                result.arrival = target.pausedUntil + latency();
            break;
        case fault::HolderKilled:
        case fault::AgentKilled:
            kill(target, 2s);
            result.isLost = result.isLost || (&target == &sender && !isAfter);
            break;
        case fault::MessageLate:
            // Calls within one instance take effect within the bound in order_timing.
            result.arrival += where >= step::RunnerState ? 4s : 7s;
            break;
        case fault::MessageLost:
            result.isLost = true;
            break;
        case fault::TableDown:
            m_tableDownUntil = m_now + 12s;
            break;
        case fault::AnswerLost:
            result.isAnswerLost = true;
            result.isLossSeen = std::bernoulli_distribution(0.5)(m_random);
            break;
        }
    }

    table_answer execute(const table_call& call)
    {
        table_answer answer { call.id, table_outcome::Done, {}, {} };
        m_table.setDown(m_now < m_tableDownUntil);
        if (const auto* read = std::get_if<table_read>(&call.request)) {
            auto rows = m_service.readRange(read->from, read->to, read->limit);
            if (rows.has_value())
                answer.rows = rows.value();
            else
                answer.outcome = table_outcome::Unavailable;
            return answer;
        }
        auto written = m_service.transact(std::get<table_transaction>(call.request));
        if (written.has_value())
            answer.revision = written.value();
        else
            answer.outcome = written.error().code == state_errc::Conflict ? table_outcome::Conflict
                                                                          : table_outcome::Unavailable;
        return answer;
    }

    void callTable(const std::shared_ptr<process>& from, const table_call& call, step where,
        std::function<void(const table_answer&)> then)
    {
        const delivery sent = startDelivery(where, *from);
        if (sent.isLost)
            return;
        m_events.emplace(sent.arrival, [this, from, call, sent, then = std::move(then), lifetime = from->lifetime] {
            table_answer answer = execute(call);
            if (sent.isLossSeen)
                answer = { call.id, table_outcome::Unknown, {}, {} };
            if ((!sent.isAnswerLost || sent.isLossSeen) && from->lifetime == lifetime)
                deliverTo(from, m_now + latency(), [then, answer] { then(answer); });
        });
    }

    void callRunner(const runner_call& call)
    {
        const delivery sent = startDelivery(call.order ? step::RunnerOrder : step::RunnerState, *m_agent);
        if (sent.isLost)
            return;
        m_events.emplace(sent.arrival, [this, call, sent, lifetime = m_agent->lifetime] {
            runner_answer answer { call.id, runner_outcome::Done, m_runner.state };
            if (call.order)
                answer.outcome = m_runner.apply(*call.order, m_now);
            if (sent.isLossSeen)
                answer.outcome = runner_outcome::Unknown;
            if ((!sent.isAnswerLost || sent.isLossSeen) && m_agent->lifetime == lifetime)
                deliverTo(m_agent, m_now + latency(),
                    [this, answer] { m_agent->gate->onRunnerResult(answer, m_agent->localTime(m_now)); });
        });
    }

    void sendMessage(const std::shared_ptr<process>& from, const order_message& message)
    {
        const delivery sent = startDelivery(step::OrderMessage, *from);
        if (sent.isLost || sent.isAnswerLost)
            return;
        m_events.emplace(sent.arrival, [this, message] {
            if (m_agent->isAlive)
                deliverTo(m_agent, m_now,
                    [this, message] { m_agent->gate->onOrderMessage(message, m_agent->localTime(m_now)); });
        });
    }

    static step stepOf(const table_call& call, bool isLease, const std::map<std::string, table_row>& rows, bool isActing)
    {
        const auto* write = std::get_if<table_transaction>(&call.request);
        if (isLease)
            return !write ? step::LeaseRead : isActing ? step::LeaseRenew
                                                       : step::LeaseAcquire;
        if (!write)
            return step::OrderRead;
        return rows.contains(write->puts.front().first) ? step::OrderAdopt : step::OrderInsert;
    }

    void advanceHolder(const std::shared_ptr<process>& holder)
    {
        const time_point local = holder->localTime(m_now);
        const bool isActing = holder->held->canAct(local);
        if (auto call = holder->held->tick(local)) {
            callTable(holder, *call, stepOf(*call, true, m_table.rows(), isActing), [this, holder](auto& answer) {
                holder->held->onTableResult(answer, holder->localTime(m_now));
            });
        }
        if (!isRunning(*holder))
            return;
        requestNext(*holder);
        for (const order_action& action : holder->issuer->tick(holder->held->view(local), local)) {
            if (const auto* call = std::get_if<table_call>(&action)) {
                callTable(holder, *call, stepOf(*call, false, m_table.rows(), true), [this, holder](auto& answer) {
                    holder->issuer->onTableResult(answer, holder->localTime(m_now));
                });
            } else if (const auto* message = std::get_if<order_message>(&action)) {
                sendMessage(holder, *message);
            }
        }
    }

    // Requests the command that follows the runner's latest order.
    void requestNext(process& holder)
    {
        if (!holder.issuer->isSynced())
            return;
        const auto latestOrder = holder.issuer->latestOrder(theRunner);
        const int last = latestOrder ? std::stoi(latestOrder->id) : 0;
        if (latestOrder && latestOrder->status == order_status::Refused)
            m_failure = "an order was refused";
        if (last == commandCount || (latestOrder && latestOrder->status != order_status::Done))
            return;
        const order_kind kind = last % 2 == 0 ? order_kind::LoadModel : order_kind::UnloadModel;
        holder.issuer->request({ std::to_string(last + 1), theRunner, kind, "clue", "requested by the test" });
    }

    void advanceAgent()
    {
        for (const gate_action& action : m_agent->gate->tick(m_agent->localTime(m_now))) {
            if (const auto* call = std::get_if<table_call>(&action)) {
                const bool isRead = std::holds_alternative<table_read>(call->request);
                callTable(m_agent, *call, isRead ? step::GateRead : step::GateMark, [this](auto& answer) {
                    m_agent->gate->onTableResult(answer, m_agent->localTime(m_now));
                });
            } else if (const auto* toRunner = std::get_if<runner_call>(&action)) {
                callRunner(*toRunner);
            }
        }
    }

    void advance()
    {
        for (const auto& each : { m_holders[0], m_holders[1], m_agent }) {
            if (!each->isAlive && m_now >= each->restartAt)
                start(*each);
        }
        for (const auto& holder : m_holders) {
            if (isRunning(*holder) && isRunning(*m_agent))
                holder->issuer->onAgentHeard(theRunner, incarnation(m_agent->lifetime));
            if (isRunning(*holder))
                advanceHolder(holder);
        }
        if (isRunning(*m_agent))
            advanceAgent();
        checkHolders();
    }

    void checkHolders()
    {
        int acting = 0;
        for (const auto& holder : m_holders)
            acting += holder->isAlive && holder->held->canAct(holder->localTime(m_now)) ? 1 : 0;
        if (acting > 1)
            m_failure = "two holders may act at once";
    }

    bool isDone() const
    {
        const auto last = m_table.rows().lower_bound("order/");
        return last != m_table.rows().end() && last->second.value.find("\"id\":\"3\"") != std::string::npos
            && last->second.value.find("\"done\"") != std::string::npos;
    }

    // Checks that each command has changed the runner exactly once, in sequence and with nondecreasing fencing numbers.
    std::string checkEffects() const
    {
        std::string ids;
        fencing_number highest;
        for (const runner_order& effect : m_runner.effects) {
            ids += effect.id;
            if (effect.number < highest)
                return "an order with an older fencing number took effect";
            highest = effect.number;
        }
        if (m_runner.repeated > 0)
            return "an order was given to a runner that had the desired state";
        return ids == "123" ? "" : "orders took effect as " + ids;
    }

    std::mt19937_64 m_random;
    std::vector<injection> m_injections;
    time_point m_now {};
    memory_table m_table;
    table_service m_service = m_table.hooks();
    time_point m_tableDownUntil = time_point::min();
    std::multimap<time_point, std::function<void()>> m_events;
    std::vector<std::shared_ptr<process>> m_holders;
    std::shared_ptr<process> m_agent;
    fake_runner m_runner;
    std::string m_failure;
};

struct cell_result {
    int runs = 0;
    int injected = 0;
    std::string failure;
};

// An order is adopted only if a holder fails and the agent does not finish the order before the next holder takes over.
void addAdoptionTrigger(std::vector<injection>& injections)
{
    const bool needsAdoption
        = std::ranges::any_of(injections, [](const injection& each) { return each.where == step::OrderAdopt; });
    if (needsAdoption)
        injections.insert(injections.begin(),
            { { fault::HolderKilled, step::OrderMessage }, { fault::AgentPaused, step::OrderMessage } });
}

void runCell(cell_result& cell, std::vector<injection> injections, std::uint64_t seed)
{
    addAdoptionTrigger(injections);
    for (const bool checksNumbers : { false, true }) {
        simulation tested(injections, checksNumbers, seed);
        const std::string failure = tested.run();
        ++cell.runs;
        cell.injected += tested.allInjected() ? 1 : 0;
        if (!failure.empty() && cell.failure.empty())
            cell.failure = failure + " (seed " + std::to_string(seed) + (checksNumbers ? ", checks)" : ", ignores)");
    }
}

void report(const std::string& name, cell_result cell)
{
    if (cell.injected == 0 && cell.failure.empty())
        cell.failure = "the cell is empty";
    std::printf("%-64s runs %3d  injected %3d  %s\n", name.c_str(), cell.runs, cell.injected,
        cell.failure.empty() ? "ok" : cell.failure.c_str());
    EXPECT_EQ(cell.failure, "") << name;
}

std::string nameOf(const injection& each)
{
    return std::string(faultNames[static_cast<std::size_t>(each.what)]) + "@"
        + stepNames[static_cast<std::size_t>(each.where)];
}

std::vector<injection> allInjections()
{
    std::vector<injection> all;
    for (std::size_t what = 0; what < faultNames.size(); ++what) {
        for (std::size_t where = 0; where < stepNames.size(); ++where)
            all.push_back({ static_cast<fault>(what), static_cast<step>(where) });
    }
    return all;
}

}

// Guards against two simultaneous holders and repeated or lost orders after a single fault at any step.
TEST(OrderFault, AnySingleFaultLeavesOneHolderAndEachOrderOnce)
{
    for (const injection& each : allInjections()) {
        cell_result cell;
        for (std::uint64_t seed = 0; seed < 12; ++seed) {
            injection one = each;
            one.skip = static_cast<int>(seed % 3);
            runCell(cell, { one }, seed);
        }
        report(nameOf(each), cell);
    }
}

// Guards against faults that cause errors only in combination, such as a late message after a restart.
TEST(OrderFault, AnyPairOfFaultsLeavesOneHolderAndEachOrderOnce)
{
    const std::vector<injection> all = allInjections();
    for (std::size_t first = 0; first < all.size(); ++first) {
        for (std::size_t second = first; second < all.size(); ++second) {
            cell_result cell;
            // With some seeds the first fault prevents the second step from occurring.
            for (std::uint64_t attempt = 0; attempt < maxAttempts && cell.injected == 0; ++attempt) {
                std::vector<injection> both { all[first], all[second] };
                both[1].skip = attempt == 0 ? static_cast<int>((first + second) % 2) : 0;
                runCell(cell, both, (first * all.size() + second) * maxAttempts + attempt);
            }
            report(nameOf(all[first]) + " + " + nameOf(all[second]), cell);
        }
    }
}
