#include "expert_map/demand_accumulator.h"
#include "expert_map/expert_demand.h"
#include "expert_map/expert_set_placement.h"
#include "expert_map/placement_planner.h"
#include "expert_map/switch_planner.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <numeric>
#include <optional>
#include <random>
#include <utility>

namespace sardinelb::test {

using std::chrono::milliseconds;

namespace {

// Distributes the experts round-robin, as groups do before their first map.
expert_placement roundRobin(std::size_t sets, std::size_t ranks, std::size_t experts)
{
    expert_placement placement;
    for (std::size_t set = 0; set < sets; ++set) {
        auto& byRank = placement.sets.emplace_back(ranks);
        for (std::size_t expert = 0; expert < experts; ++expert)
            byRank[expert % ranks].push_back(static_cast<expert_number>(expert));
    }
    return placement;
}

// Popularity in which one expert of each set is chosen as often as a quarter of all the others together.
std::vector<std::vector<double>> popularityWithOneHotExpert(std::size_t sets, std::size_t experts, std::uint32_t seed)
{
    std::mt19937 random(seed);
    std::vector<std::vector<double>> popularity(sets, std::vector<double>(experts));
    for (auto& set : popularity) {
        for (double& share : set)
            share = 0.5 + static_cast<double>(random() % 1000) / 1000;
        set[random() % experts] = static_cast<double>(experts) / 4;
        const double total = std::accumulate(set.begin(), set.end(), 0.0);
        for (double& share : set)
            share /= total;
    }
    return popularity;
}

placement_planner::settings smallGroupSettings()
{
    placement_planner::settings settings;
    settings.expertsPerRank = 11;
    settings.newExpertsPerRank = 4;
    return settings;
}

}

class placement_plan : public testing::Test { };

// Guards against a map under which the busiest rank carries three times the mean load.
TEST_F(placement_plan, hotExpertInEachSet_twoPlans_busiestRankUnder130PercentOfTheMean)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        const auto popularity = popularityWithOneHotExpert(6, 64, seed);
        const placement_planner planner(smallGroupSettings());
        const auto first = planner.improve(roundRobin(6, 8, 64), popularity, std::vector<double>(8, 1));
        ASSERT_TRUE(first);
        EXPECT_GT(first->balanceBefore, 2);
        const auto second = planner.improve(first->placement, popularity, std::vector<double>(8, 1));
        EXPECT_LE((second ? second : first)->balanceAfter, 1.3) << "seed " << seed;
    }
}

// Guards against maps that ranks reject: an expert on no rank, or too many experts or too many new ones on a rank.
TEST_F(placement_plan, anyDemand_everyPlan_keepsTheLimitsOfTheRanks)
{
    expert_placement current = roundRobin(6, 8, 64);
    const auto settings = smallGroupSettings();
    for (std::uint32_t seed = 1; seed <= 60; ++seed) {
        const auto plan = placement_planner(settings).improve(current, popularityWithOneHotExpert(6, 64, seed), std::vector<double>(8, 1));
        if (!plan)
            continue;
        std::vector<std::uint32_t> copies(8);
        for (std::size_t set = 0; set < 6; ++set) {
            std::vector<int> held(64);
            for (std::size_t rank = 0; rank < 8; ++rank) {
                const auto& now = plan->placement.sets[set][rank];
                const auto& before = current.sets[set][rank];
                ASSERT_LE(now.size(), settings.expertsPerRank);
                ASSERT_TRUE(std::is_sorted(now.begin(), now.end()));
                std::uint32_t added = 0;
                for (const expert_number expert : now) {
                    ++held[expert];
                    added += std::binary_search(before.begin(), before.end(), expert) ? 0 : 1;
                }
                ASSERT_LE(added, settings.newExpertsPerRank);
                copies[rank] += added;
            }
            ASSERT_TRUE(std::all_of(held.begin(), held.end(), [](int count) { return count > 0; }));
        }
        for (const std::uint32_t count : copies)
            ASSERT_LE(count, settings.copiesPerRank);
        current = plan->placement;
    }
}

// Guards against maps of large groups that leave the busiest rank far above the mean, because each single copy gains little,
// and against plans that take most of the time between two shifts of the demand on a small machine.
TEST_F(placement_plan, groupOf96_hotExpertInEachSet_busiestRankUnder140PercentOfTheMeanWithinMilliseconds)
{
    placement_planner::settings settings;
    settings.expertsPerRank = 3;
    settings.newExpertsPerRank = 2;
    settings.copiesPerRank = 8;
    settings.gainPerCopy = 0.24 / 96;
    const auto popularity = popularityWithOneHotExpert(16, 192, 5);
    const auto startedAt = std::chrono::steady_clock::now();
    const auto plan = placement_planner(settings).improve(roundRobin(16, 96, 192), popularity, std::vector<double>(96, 1));
    const auto took = std::chrono::steady_clock::now() - startedAt;
    ASSERT_TRUE(plan);
    EXPECT_LE(plan->balanceAfter, 1.4);
    // A tenth of a second on a machine with 0.15 of a core, with room for a busy test machine.
    EXPECT_LE(took, milliseconds(100));
}

TEST_F(placement_plan, slowRank_evenDemand_carriesLessThanTheOthers)
{
    std::vector<double> speeds(8, 1);
    speeds[2] = 0.25;
    std::vector<std::vector<double>> popularity(2, std::vector<double>(64, 1.0 / 64));
    expert_placement current = roundRobin(2, 8, 64);
    for (int i = 0; i < 6; ++i) {
        if (const auto plan = placement_planner(smallGroupSettings()).improve(current, popularity, speeds))
            current = plan->placement;
    }
    std::vector<double> load(8);
    for (std::size_t rank = 0; rank < 8; ++rank) {
        for (const expert_number expert : current.sets[0][rank]) {
            const auto holders = std::count_if(current.sets[0].begin(), current.sets[0].end(), [&](const auto& held) { return std::binary_search(held.begin(), held.end(), expert); });
            load[rank] += 1.0 / 64 / static_cast<double>(holders);
        }
    }
    EXPECT_LT(load[2], 0.7 * (1 - load[2]) / 7);
}

// Guards against plans whose gain does not justify the copies and orders.
TEST_F(placement_plan, balancedGroup_evenDemand_noPlan)
{
    const std::vector<std::vector<double>> popularity(6, std::vector<double>(64, 1.0 / 64));
    EXPECT_FALSE(placement_planner(smallGroupSettings()).improve(roundRobin(6, 8, 64), popularity, std::vector<double>(8, 1)));
}

// Guards against an incrementally updated cost that drifts from the cost computed anew.
TEST_F(placement_plan, expertSetPlacement_manyChanges_costEqualsThatOfAFreshOne)
{
    std::mt19937 random(3);
    const auto popularity = popularityWithOneHotExpert(1, 64, 5).front();
    expert_set_placement placement(roundRobin(1, 8, 64).sets.front(), popularity, std::vector<double>(8, 1));
    for (int i = 0; i < 40; ++i) {
        const auto change = placement.bestChange(11, std::vector<bool>(8, true));
        placement.apply(change);
        const expert_set_placement fresh(placement.byRank(), popularity, std::vector<double>(8, 1));
        ASSERT_NEAR(placement.cost(), fresh.cost(), 1e-9);
        ASSERT_NEAR(change.cost, fresh.cost(), 1e-9);
    }
}

// Simulates demand that shifts to other experts every 3.5 s, with plans made as a coordinator makes them.
class switch_plan : public testing::Test {
protected:
    using planner = std::function<std::optional<placement_planner::plan>(const expert_placement&, const std::vector<std::vector<double>>&)>;

    static constexpr std::size_t ranks = 8;
    static constexpr std::size_t sets = 6;
    static constexpr std::size_t experts = 64;
    static constexpr double copySeconds = 0.15;
    static constexpr double switchSeconds = 0.35;

    // Time of the busiest rank relative to the mean, averaged over half a minute.
    static double meanBalance(const planner& plan)
    {
        constexpr double tick = 0.05;
        expert_placement current = roundRobin(sets, ranks, experts);
        std::optional<expert_placement> next;
        double activeAt = 0;
        double sum = 0;
        int ticks = 0;
        for (double now = 0; now < 30; now += tick, ++ticks) {
            const auto popularity = popularityWithOneHotExpert(sets, experts, 1 + static_cast<std::uint32_t>(now / 3.5));
            if (next && now >= activeAt)
                current = *std::exchange(next, std::nullopt);
            sum += balanceOf(current, popularity);
            const auto planned = next ? std::nullopt : plan(current, popularity);
            if (!planned)
                continue;
            activeAt = now + switchSeconds + copySeconds * maxCopiesPerRank(current, planned->placement);
            next = planned->placement;
        }
        return sum / ticks;
    }

    static double balanceOf(const expert_placement& placement, const std::vector<std::vector<double>>& popularity)
    {
        double sum = 0;
        for (std::size_t set = 0; set < sets; ++set)
            sum += expert_set_placement(placement.sets[set], popularity[set], std::vector<double>(ranks, 1)).balance();
        return sum / sets;
    }

    static double maxCopiesPerRank(const expert_placement& before, const expert_placement& after)
    {
        std::vector<double> copies(ranks);
        for (std::size_t set = 0; set < sets; ++set) {
            for (std::size_t rank = 0; rank < ranks; ++rank) {
                const auto& held = before.sets[set][rank];
                copies[rank] += static_cast<double>(std::count_if(after.sets[set][rank].begin(), after.sets[set][rank].end(), [&](expert_number expert) { return !std::binary_search(held.begin(), held.end(), expert); }));
            }
        }
        return *std::max_element(copies.begin(), copies.end());
    }
};

// Guards against a group that keeps an outdated map until every useful expert has been copied, instead of switching in
// several smaller steps.
TEST_F(switch_plan, demandMovesEveryFewSeconds_passesAreShorterThanWithFullPlans)
{
    const std::vector<double> speeds(ranks, 1);
    const double full = meanBalance([&](const auto& current, const auto& popularity) { return placement_planner(smallGroupSettings()).improve(current, popularity, speeds); });
    const double stepwise = meanBalance([&](const auto& current, const auto& popularity) { return switch_planner(smallGroupSettings(), milliseconds(150)).plan(current, popularity, speeds); });
    EXPECT_LT(stepwise, 0.95 * full);
}

class demand_estimate : public testing::Test { };

// Guards against maps that fit the demand of a few seconds ago.
TEST_F(demand_estimate, demandMoves_afterOneSecond_newExpertLeads)
{
    expert_demand demand(1, 4);
    for (int i = 0; i < 50; ++i)
        demand.report({ 1, { 100, 10, 10, 10 } }, time_point(milliseconds(i * 100)));
    for (int i = 50; i < 60; ++i)
        demand.report({ 1, { 10, 10, 10, 100 } }, time_point(milliseconds(i * 100)));
    const auto shares = demand.popularity().front();
    EXPECT_GT(shares[3], 0.5);
    EXPECT_LT(shares[0], 0.25);
    EXPECT_NEAR(std::accumulate(shares.begin(), shares.end(), 0.0), 1, 1e-9);
}

TEST_F(demand_estimate, report_ofAnotherSize_ignored)
{
    expert_demand demand(1, 4);
    demand.report({ 1, { 1, 2 } }, time_point(milliseconds(1)));
    EXPECT_EQ(demand.recentChoices(), 0);
}

}
