#include "tests/fakes/serving_fault.h"
#include "tests/fakes/serving_simulation.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <functional>
#include <future>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sardinelb::fakes {

namespace {

using namespace std::chrono_literals;

// More retries than a contract grants, so that an exhausted budget does not hide a wrong retry.
constexpr double manyRetries = 10;
constexpr time_point firstCalls(500ms);
constexpr time_point watchedCall(510ms);
// Later than the last fault by more than the time bound of a drain.
constexpr time_point lateCalls(11s);
// The last fault ends within 25 s; then 120 s pass without any.
constexpr time_point endOfCell(150s);
// Threads that share the pairs of faults, since cells are independent.
constexpr std::size_t pairWorkers = 3;
// A fault whose step is not reached is injected this long after the other one.
constexpr duration missedStepDelay = 2s;
constexpr std::array kinds { request_kind::ChatStream, request_kind::NonIdempotentCall, request_kind::IdempotentCall };

struct planned_fault {
    serving_fault fault = serving_fault::EntryKilled;
    request_step step = request_step::Accept;
};

struct cell_result {
    std::vector<std::string> violations;
    // Result for the watched caller.
    std::string told;
    int executions = 0;
    std::size_t agent = 0;
    std::size_t injected = 0;
};

std::string describe(const caller_record& caller)
{
    if (caller.completed)
        return "completed";
    if (caller.error) {
        switch (caller.error->execution) {
        case execution_outcome::NotRun:
            return "not_run";
        case execution_outcome::Failed:
            return "ran";
        default:
            return "unknown";
        }
    }
    return caller.disconnected ? "left" : "entry-died";
}

// A simulation run of a watched request among others, with faults at given steps of the request.
class cell {
public:
    cell(request_kind kind, std::vector<planned_fault> plan, std::size_t expectedAgent)
        : m_kind(kind)
        , m_plan(std::move(plan))
        , m_done(m_plan.size(), false)
        , m_expectedAgent(expectedAgent)
        , m_simulation(settingsFor(kind), [this](const request_id& id, request_step step) { onStep(id, step); })
    {
    }

    cell_result run()
    {
        // One call per runner from the other entry makes the watched request wait in a queue.
        m_simulation.events().at(firstCalls, [this] {
            for (std::size_t agent = 0; agent < m_simulation.agents(); ++agent)
                m_simulation.call(1, m_kind);
        });
        m_simulation.events().at(watchedCall, [this] { m_watched = m_simulation.call(0, m_kind, true); });
        m_simulation.events().at(lateCalls, [this] {
            // Enough requests to try every runner, including a drained one.
            for (std::size_t agent = 0; agent < m_simulation.agents(); ++agent) {
                m_simulation.call(0, m_kind);
                m_simulation.call(1, m_kind);
            }
        });
        m_simulation.events().runUntil(endOfCell);
        return result();
    }

private:
    static simulation_settings settingsFor(request_kind kind)
    {
        simulation_settings settings;
        // Two faults leave at least one agent unaffected.
        settings.agents = 3;
        settings.kind = kind == request_kind::ChatStream ? pool_kind::Model : pool_kind::Service;
        settings.retryRatio = manyRetries;
        return settings;
    }

    void onStep(const request_id& id, request_step step)
    {
        m_watched = id;
        for (std::size_t index = 0; index < m_plan.size(); ++index) {
            if (m_plan[index].step == step)
                injectOnce(index);
        }
    }

    void injectOnce(std::size_t index)
    {
        if (m_done[index])
            return;
        m_done[index] = true;
        ++m_injected;
        inject(m_simulation, m_plan[index].fault, m_watched, 0,
            m_simulation.agentOf(m_watched).value_or(m_expectedAgent));
        m_simulation.events().after(missedStepDelay, [this] {
            for (std::size_t other = 0; other < m_plan.size(); ++other)
                injectOnce(other);
        });
    }

    bool hasOnlyPlannedOperations() const
    {
        return std::all_of(m_plan.begin(), m_plan.end(), [](const auto& planned) { return isHarmless(planned.fault); });
    }

    cell_result result() const
    {
        cell_result found;
        found.violations = m_simulation.violations(hasOnlyPlannedOperations());
        found.told = describe(m_simulation.callers().at(m_watched));
        found.executions = m_simulation.executions(m_watched);
        found.agent = m_simulation.agentOf(m_watched).value_or(0);
        found.injected = m_injected;
        return found;
    }

    request_kind m_kind;
    std::vector<planned_fault> m_plan;
    std::vector<bool> m_done;
    std::size_t m_expectedAgent;
    std::size_t m_injected = 0;
    request_id m_watched;
    serving_simulation m_simulation;
};

// Agent of the watched request in a run without faults. Runs with equal seeds choose the same agent until the first
// fault.
std::size_t agentWithoutFaults(request_kind kind) { return cell(kind, {}, 0).run().agent; }

void expectNoViolation(const cell_result& result, request_kind kind, const std::string& name)
{
    for (const std::string& violation : result.violations)
        ADD_FAILURE() << name << ", " << toString(kind) << ": " << violation;
}

// Whether the request must have a complete answer in spite of the fault, since it is retried on another runner or its
// outcome can be queried.
bool isRecoverable(serving_fault fault, request_kind kind)
{
    switch (fault) {
    case serving_fault::ConnectionRestored:
    case serving_fault::RunnerRefuses:
        return true;
    case serving_fault::AgentRestarted:
    case serving_fault::RunnerBreaksCall:
        return kind != request_kind::NonIdempotentCall;
    default:
        return false;
    }
}

std::string nameOf(const planned_fault& planned)
{
    return std::string(toString(planned.fault)) + "@" + toString(planned.step);
}

std::vector<planned_fault> allFaults()
{
    std::vector<planned_fault> all;
    for (std::size_t fault = 0; fault < servingFaults; ++fault) {
        for (std::size_t step = 0; step < requestSteps; ++step)
            all.push_back({ static_cast<serving_fault>(fault), static_cast<request_step>(step) });
    }
    return all;
}

struct pair_result {
    planned_fault first;
    planned_fault second;
    cell_result result;
};

// Counts of results per pair of faults.
using pair_rows = std::map<std::string, std::map<std::string, int>>;

void addTo(pair_rows& rows, const pair_result& pair)
{
    auto& row = rows[std::string(toString(pair.first.fault)) + " + " + toString(pair.second.fault)];
    ++row[pair.result.told];
    ++row["cells"];
    row["violations"] += pair.result.violations.empty() ? 0 : 1;
}

// Runs one fault at one step with the same and each later kind of fault at every step.
void runPairs(request_kind kind, const std::vector<planned_fault>& all, std::size_t first, std::size_t agent,
    std::vector<pair_result>& results)
{
    for (const planned_fault& second : all) {
        if (second.fault >= all[first].fault)
            results.push_back({ all[first], second, cell(kind, { all[first], second }, agent).run() });
    }
}

class serving_fault_matrix : public testing::TestWithParam<request_kind> { };

}

// Guards against a simulation in which requests fail without any fault, so that the matrix would be meaningless.
TEST_P(serving_fault_matrix, CompletesWithoutFaults)
{
    const cell_result result = cell(GetParam(), {}, 0).run();
    expectNoViolation(result, GetParam(), "no fault");
    EXPECT_EQ(result.told, "completed");
    EXPECT_EQ(result.executions, 1);
}

// Guards against wrong, missing, duplicate or truncated answers, second executions and leaks after any single fault.
TEST_P(serving_fault_matrix, KeepsInvariantsUnderEachFault)
{
    const std::size_t agent = agentWithoutFaults(GetParam());
    for (const planned_fault& planned : allFaults()) {
        const cell_result result = cell(GetParam(), { planned }, agent).run();
        std::printf("%-19s %-14s %-14s told %-10s executions %d %s\n", toString(planned.fault),
            toString(planned.step), toString(GetParam()), result.told.c_str(), result.executions,
            result.violations.empty() ? "ok" : "VIOLATION");
        expectNoViolation(result, GetParam(), nameOf(planned));
        if (isRecoverable(planned.fault, GetParam())) {
            EXPECT_EQ(result.told, "completed") << nameOf(planned);
        }
        ASSERT_EQ(result.injected, 1U) << nameOf(planned);
    }
}

// Guards against the same failures under any two faults, each at any step.
TEST_P(serving_fault_matrix, KeepsInvariantsUnderEachPairOfFaults)
{
    const std::size_t agent = agentWithoutFaults(GetParam());
    const std::vector<planned_fault> all = allFaults();
    pair_rows rows;
    std::vector<std::future<std::vector<pair_result>>> workers;
    for (std::size_t worker = 0; worker < pairWorkers; ++worker) {
        workers.push_back(std::async(std::launch::async, [&all, agent, worker] {
            std::vector<pair_result> results;
            for (std::size_t first = worker; first < all.size(); first += pairWorkers)
                runPairs(GetParam(), all, first, agent, results);
            return results;
        }));
    }
    for (auto& worker : workers) {
        for (const pair_result& pair : worker.get()) {
            addTo(rows, pair);
            expectNoViolation(pair.result, GetParam(), nameOf(pair.first) + " + " + nameOf(pair.second));
            ASSERT_EQ(pair.result.injected, 2U) << nameOf(pair.first) << " + " << nameOf(pair.second);
        }
    }
    for (const auto& [pair, row] : rows) {
        std::printf("%-40s %-14s", pair.c_str(), toString(GetParam()));
        for (const auto& [what, count] : row)
            std::printf(" %s %d", what.c_str(), count);
        std::printf("\n");
    }
}

INSTANTIATE_TEST_SUITE_P(Kinds, serving_fault_matrix, testing::ValuesIn(kinds), [](const auto& kind) {
    switch (kind.param) {
    case request_kind::ChatStream:
        return "Chat";
    case request_kind::NonIdempotentCall:
        return "NonIdempotent";
    case request_kind::IdempotentCall:
        return "Idempotent";
    }
    return "Invalid";
});

}
