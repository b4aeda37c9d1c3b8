#include "tests/correctness/map_switch_simulation.h"

#include <gtest/gtest.h>

#include <cstdio>

namespace sardinelb::map_switch_simulation {

namespace {

// A switch takes about 0.2 s in the simulation and a fault heals within 1.3 s. A run that has not settled by then is
// stuck.
constexpr time_point settleLimit { std::chrono::seconds(60) };
constexpr std::uint64_t seedsPerCell = 8;
constexpr std::uint64_t randomSchedules = 300;

struct cell {
    fault kind;
    stage where;

    std::string name() const
    {
        return std::string(faultNames.at(static_cast<std::size_t>(kind))) + " at "
            + stageNames.at(static_cast<std::size_t>(where));
    }
};

std::vector<cell> allCells()
{
    std::vector<cell> cells;
    for (std::size_t kind = 0; kind < faultNames.size(); ++kind)
        for (std::size_t where = 0; where < stageNames.size(); ++where)
            cells.push_back({ static_cast<fault>(kind), static_cast<stage>(where) });
    return cells;
}

struct matrix_row {
    int injected = 0;
    std::size_t steps = 0;
    std::size_t commits = 0;
    std::size_t aborts = 0;
    std::string failure;
};

// Even seeds inject the faults into the first switch of the group, odd seeds into a later one.
void runCells(const std::vector<cell>& cells, std::uint64_t seed, matrix_row& row)
{
    simulation simulated(seed);
    for (const cell& injected : cells) {
        // The lease is written before the version that it serves is proposed.
        const std::uint64_t leaseOffset = injected.where == stage::Lease ? 1 : 0;
        simulated.arm(injected.kind, injected.where, map_version(1 + seed % 2 - leaseOffset));
    }
    const bool isSettled = simulated.runUntilSettled(settleLimit);
    simulated.compareWithNaive();
    row.injected += simulated.injected;
    row.steps += simulated.completed.size();
    row.commits += simulated.decisions(map_outcome::Commit);
    row.aborts += simulated.decisions(map_outcome::Abort);
    if (!simulated.violations.empty())
        row.failure = "seed " + std::to_string(seed) + ": " + simulated.violations.front();
    else if (!isSettled)
        row.failure = "seed " + std::to_string(seed) + ": stuck";
}

void report(const std::string& name, const matrix_row& row)
{
    std::printf("%s: faults %d, steps %zu, commits %zu, aborts %zu: %s\n", name.c_str(), row.injected, row.steps,
        row.commits, row.aborts, row.failure.empty() ? "ok" : row.failure.c_str());
    EXPECT_EQ(row.failure, "") << name;
    EXPECT_GT(row.injected, 0) << name << ": the fault had no effect";
    EXPECT_GT(row.commits, 0U) << name;
}

}

// Guards against a simulation that never switches: without faults every proposal commits, but for those whose weights
// are not loaded in time.
TEST(MapSwitch, WithoutFaultsCommits)
{
    simulation simulated(1);
    simulated.runUntil(time_point(std::chrono::seconds(10)));
    simulated.compareWithNaive();
    EXPECT_TRUE(simulated.violations.empty());
    EXPECT_GT(simulated.decisions(map_outcome::Commit), 20U);
    EXPECT_GT(simulated.completed.size(), 500U);
}

// Guards against a rank that waits for ever when no coordinator is left to tell it a decision that is in the table.
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

// Guards against a split step, a falling version or a stuck group when one fault hits one step of a switch.
TEST(MapSwitch, WithOneFaultAtAnyStepStaysConsistent)
{
    for (const cell& injected : allCells()) {
        matrix_row row;
        for (std::uint64_t seed = 0; seed < seedsPerCell; ++seed)
            runCells({ injected }, seed, row);
        report(injected.name(), row);
    }
}

// Guards against two faults that are harmless one by one and not together.
TEST(MapSwitch, WithTwoFaultsAtAnyStepsStaysConsistent)
{
    const std::vector<cell> cells = allCells();
    for (std::size_t first = 0; first < cells.size(); ++first)
        for (std::size_t second = first; second < cells.size(); ++second) {
            matrix_row row;
            runCells({ cells[first], cells[second] }, 1000 + first * cells.size() + second, row);
            report(cells[first].name() + " + " + cells[second].name(), row);
        }
}

// Guards against faults that overlap and repeat in ways that the matrix does not list.
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
        EXPECT_TRUE(simulated.runUntilSettled(settleLimit)) << "seed " << seed << ": stuck";
        simulated.compareWithNaive();
        for (const std::string& violation : simulated.violations)
            ADD_FAILURE() << "seed " << seed << ": " << violation;
        commits += simulated.decisions(map_outcome::Commit);
    }
    EXPECT_GT(commits, randomSchedules);
}

}
