#include "tests/correctness/map_switch_simulation.h"

#include <gtest/gtest.h>

#include <cstdio>

namespace sardinelb::map_switch_simulation {

namespace {

// A switch takes about 0.2 s of simulated time and a fault heals within 1.3 s, so a run that has not settled by this
// limit is stuck.
constexpr time_point settleLimit { std::chrono::seconds(60) };
constexpr std::uint64_t seedsPerInjection = 8;
constexpr std::uint64_t randomSchedules = 300;

struct fault_injection {
    fault kind;
    stage where;

    std::string name() const
    {
        return std::string(faultNames.at(static_cast<std::size_t>(kind))) + " at "
            + stageNames.at(static_cast<std::size_t>(where));
    }
};

std::vector<fault_injection> allInjections()
{
    std::vector<fault_injection> injections;
    for (std::size_t kind = 0; kind < faultNames.size(); ++kind)
        for (std::size_t where = 0; where < stageNames.size(); ++where)
            injections.push_back({ static_cast<fault>(kind), static_cast<stage>(where) });
    return injections;
}

struct run_totals {
    int injected = 0;
    std::size_t steps = 0;
    std::size_t commits = 0;
    std::size_t aborts = 0;
    std::string failure;
};

// Even seeds inject the faults into the first switch of the group, odd seeds into a later one.
void runWithFaults(const std::vector<fault_injection>& injections, std::uint64_t seed, run_totals& totals)
{
    simulation simulated(seed);
    for (const fault_injection& injected : injections) {
        // The lease is written before the version is proposed, while the previous one is in use.
        const std::uint64_t leaseOffset = injected.where == stage::Lease ? 1 : 0;
        simulated.arm(injected.kind, injected.where, map_version(1 + seed % 2 - leaseOffset));
    }
    const bool isSettled = simulated.runUntilSettled(settleLimit);
    simulated.compareWithReference();
    totals.injected += simulated.injected;
    totals.steps += simulated.completed.size();
    totals.commits += simulated.decisions(map_outcome::Commit);
    totals.aborts += simulated.decisions(map_outcome::Abort);
    if (!simulated.violations.empty())
        totals.failure = "seed " + std::to_string(seed) + ": " + simulated.violations.front();
    else if (!isSettled)
        totals.failure = "seed " + std::to_string(seed) + ": no switch completed within the limit";
}

void report(const std::string& name, const run_totals& totals)
{
    std::printf("%s: faults %d, steps %zu, commits %zu, aborts %zu: %s\n", name.c_str(), totals.injected, totals.steps,
        totals.commits, totals.aborts, totals.failure.empty() ? "ok" : totals.failure.c_str());
    EXPECT_EQ(totals.failure, "") << name;
    EXPECT_GT(totals.injected, 0) << name << ": the fault had no effect";
    EXPECT_GT(totals.commits, 0U) << name;
}

}

// Guards against a simulation in which no switch takes place: without faults every proposal commits, except those whose
// weights are not loaded in time.
TEST(MapSwitch, WithoutFaultsCommits)
{
    simulation simulated(1);
    simulated.runUntil(time_point(std::chrono::seconds(10)));
    simulated.compareWithReference();
    EXPECT_TRUE(simulated.violations.empty());
    EXPECT_GT(simulated.decisions(map_outcome::Commit), 20U);
    EXPECT_GT(simulated.completed.size(), 500U);
}

// Guards against a rank that waits forever for a decision that is in the table, when no coordinator is left to send it.
TEST(MapSwitch, WithoutCoordinatorReadsTheDecision)
{
    const time_point start {};
    const group_id& group = groupName();
    const auto map = std::make_shared<const expert_map>(expert_map { map_version(1), { { { rank_id(0), 1 } } } });
    const map_proposal proposal { map, step_number(1), daemon_id("c"), fencing_number(1) };
    map_switch_rank rank(switchSettings(), rank_id(0), incarnation(1));
    rank.poll(start);
    rank.onRowsRead(1, std::vector<table_row> {}, start);
    rank.onWriteResult(2, row_revision(1), start);
    const table_row proposalRow { mapProposalKey(group, map_version(1)), toRowValue(proposal), row_revision(2) };
    rank.onRowsRead(3, std::vector<table_row> { proposalRow }, start);
    EXPECT_FALSE(rank.tryEnterStep(step_number(1), start));
    rank.onWeightsLoaded(map_version(1), start);
    EXPECT_FALSE(rank.tryEnterStep(step_number(1), start));
    rank.takeActions();

    const time_point later = start + switchSettings().resendInterval + switchSettings().decisionPollInterval;
    rank.poll(later);
    const map_decision decision { map_version(1), map_outcome::Commit, step_number(1) };
    const table_row decisionRow { mapDecisionKey(group, map_version(1)), toRowValue(decision), row_revision(3) };
    rank.onRowsRead(4, std::vector<table_row> { decisionRow }, later);
    EXPECT_EQ(rank.tryEnterStep(step_number(1), later), map_version(1));
}

// Guards against different maps in one step, a decreasing version or a stuck group after one fault at any stage of a
// switch.
TEST(MapSwitch, WithOneFaultAtAnyStepStaysConsistent)
{
    for (const fault_injection& injected : allInjections()) {
        run_totals totals;
        for (std::uint64_t seed = 0; seed < seedsPerInjection; ++seed)
            runWithFaults({ injected }, seed, totals);
        report(injected.name(), totals);
    }
}

// Guards against failures that only a combination of two faults causes.
TEST(MapSwitch, WithTwoFaultsAtAnyStepsStaysConsistent)
{
    const std::vector<fault_injection> injections = allInjections();
    for (std::size_t first = 0; first < injections.size(); ++first)
        for (std::size_t second = first; second < injections.size(); ++second) {
            run_totals totals;
            runWithFaults({ injections[first], injections[second] }, 1000 + first * injections.size() + second, totals);
            report(injections[first].name() + " + " + injections[second].name(), totals);
        }
}

// Guards against failures from overlapping and repeated faults that the tests above do not cover.
TEST(MapSwitch, UnderRandomFaultsStaysConsistent)
{
    std::size_t commits = 0;
    for (std::uint64_t seed = 0; seed < randomSchedules; ++seed) {
        simulation simulated(seed);
        std::mt19937_64 random(seed);
        for (int injected = 0; injected < 12; ++injected) {
            const auto kind = static_cast<fault>(random() % faultNames.size());
            simulated.schedule.at(
                time_point(milliseconds(random() % 4000)), [&simulated, kind] { simulated.inject(kind); });
        }
        simulated.runUntil(time_point(milliseconds(4000)));
        EXPECT_TRUE(simulated.runUntilSettled(settleLimit)) << "seed " << seed << ": no switch completed within the limit";
        simulated.compareWithReference();
        for (const std::string& violation : simulated.violations)
            ADD_FAILURE() << "seed " << seed << ": " << violation;
        commits += simulated.decisions(map_outcome::Commit);
    }
    EXPECT_GT(commits, randomSchedules);
}

}
