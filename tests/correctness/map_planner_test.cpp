#include "coordination/maps/map_balance.h"
#include "coordination/maps/map_planner.h"
#include "coordination/maps/popularity_tracker.h"
#include "coordination/maps/replica_placement.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <bit>
#include <cmath>
#include <map>
#include <numeric>
#include <random>
#include <utility>

namespace sardinelb {

namespace {

// Required balance: time of the busiest rank over the mean.
constexpr double balanceBound = 1.05;

double draw(std::mt19937_64& random, double low, double high)
{
    return std::uniform_real_distribution<double>(low, high)(random);
}

std::vector<double> drawMany(std::mt19937_64& random, std::size_t count, double low, double high)
{
    std::vector<double> values(count);
    std::ranges::generate(values, [&] { return draw(random, low, high); });
    return values;
}

// Relative popularity of experts by Zipf's law, in random order.
std::vector<double> zipf(std::mt19937_64& random, std::size_t count, double exponent)
{
    std::vector<double> values(count);
    for (std::size_t place = 0; place < count; ++place)
        values[place] = std::pow(static_cast<double>(place + 1), -exponent);
    std::ranges::shuffle(values, random);
    return values;
}

// Set of experts on each rank, as a bit mask.
using rank_sets = std::vector<unsigned>;

// The best balance of a placement under any division of the traffic. For any set of experts, the time is at least their
// total load divided by the total speed of the ranks that hold any of them; the largest of these bounds is the result.
double bestBalance(const rank_sets& held, const std::vector<double>& popularity, const std::vector<double>& speeds)
{
    double worst = 0;
    for (unsigned set = 1; set < 1U << popularity.size(); ++set) {
        double load = 0;
        double speed = 0;
        for (std::size_t expert = 0; expert < popularity.size(); ++expert)
            load += set >> expert & 1U ? popularity[expert] : 0;
        for (std::size_t rank = 0; rank < speeds.size(); ++rank)
            speed += held[rank] & set ? speeds[rank] : 0;
        worst = std::max(worst, speed > 0 ? load / speed : INFINITY);
    }
    const double load = std::accumulate(popularity.begin(), popularity.end(), 0.0);
    return worst / (load / std::accumulate(speeds.begin(), speeds.end(), 0.0));
}

// The best balance of all placements that satisfy `accept`, by exhaustive search.
template <typename Accept>
double bruteForce(const map_plan_request& request, std::uint32_t slots, Accept accept)
{
    double best = INFINITY;
    rank_sets held(request.speeds.size());
    const auto place = [&](const auto& self, std::size_t rank) -> void {
        if (rank == held.size()) {
            if (accept(held))
                best = std::min(best, bestBalance(held, request.popularity, request.speeds));
            return;
        }
        for (unsigned set = 0; set < 1U << request.popularity.size(); ++set)
            if (std::popcount(set) <= static_cast<int>(slots)) {
                held[rank] = set;
                self(self, rank + 1);
            }
    };
    place(place, 0);
    return best;
}

rank_sets setsOf(const expert_map& map, std::size_t rankCount)
{
    rank_sets held(rankCount);
    for (std::size_t expert = 0; expert < map.experts.size(); ++expert)
        for (const auto& replica : map.experts[expert])
            held[replica.rank.value()] |= 1U << expert;
    return held;
}

std::shared_ptr<const expert_map> keep(expert_map map)
{
    return std::make_shared<const expert_map>(std::move(map));
}

void expectValid(const expert_map& map, const map_plan_request& request, const map_planner_settings& settings)
{
    std::vector<std::uint32_t> used(request.speeds.size());
    ASSERT_EQ(map.experts.size(), request.popularity.size());
    for (const auto& replicas : map.experts) {
        ASSERT_FALSE(replicas.empty());
        double sum = 0;
        for (std::size_t index = 0; index < replicas.size(); ++index) {
            ASSERT_LT(replicas[index].rank.value(), used.size());
            ++used[replicas[index].rank.value()];
            sum += replicas[index].share;
            EXPECT_GE(replicas[index].share, 0);
            EXPECT_TRUE(index == 0 || replicas[index - 1].rank < replicas[index].rank);
        }
        EXPECT_NEAR(sum, 1, 1e-9);
    }
    EXPECT_LE(std::ranges::max(used), settings.slotsPerRank);
}

// Number of experts that each rank holds under `to` but not under `from`.
std::map<rank_id, std::uint32_t> movesByRank(const expert_map& from, const expert_map& to)
{
    std::map<rank_id, std::uint32_t> moves;
    for (std::size_t expert = 0; expert < to.experts.size(); ++expert)
        for (const auto& replica : to.experts[expert])
            if (std::ranges::find(from.experts[expert], replica.rank, &expert_map::replica::rank)
                == from.experts[expert].end())
                ++moves[replica.rank];
    return moves;
}

}

// Guards against shares that leave a rank busier than the placement requires.
TEST(ReplicaPlacement, SharesAsWellAsAnyDivisionCan)
{
    std::mt19937_64 random(1);
    for (int round = 0; round < 300; ++round) {
        const std::vector<double> popularity = drawMany(random, 5, 0.05, 2);
        const std::vector<double> speeds = drawMany(random, 4, 0.5, 1.5);
        replica_placement placement(popularity, speeds, 3);
        rank_sets held(speeds.size());
        for (int replica = 0; replica < 12; ++replica) {
            const std::size_t expert = replica < 5 ? replica : random() % 5;
            const std::size_t rank = replica < 5 ? replica % 4 : random() % 4;
            if (placement.freeSlots(rank) == 0 || placement.holds(expert, rank))
                continue;
            placement.add(expert, rank);
            held[rank] |= 1U << expert;
        }
        placement.distributeLoads(1000);
        // distributeLoads() stops when no load changes by more than 0.0001 in a sweep.
        EXPECT_NEAR(placement.balance(), bestBalance(held, popularity, speeds), 0.005) << "round " << round;
    }
}

// Guards against a first map that is far from the best one.
TEST(MapPlanner, WithoutCurrentMapIsCloseToTheOptimum)
{
    std::mt19937_64 random(2);
    map_planner_settings settings;
    settings.slotsPerRank = 2;
    for (int round = 0; round < 200; ++round) {
        map_plan_request request;
        request.popularity = zipf(random, 4, draw(random, 0, 2));
        request.speeds = drawMany(random, 3, 0.6, 1.2);
        const auto plan = map_planner(settings).plan(request).value();
        expectValid(plan->map, request, settings);
        const double optimum = bruteForce(request, 2, [](const rank_sets&) { return true; });
        EXPECT_LE(plan->balanceAfter, balanceBound * optimum) << "round " << round;
    }
}

// Guards against a search that misses improvements which the move budget allows.
TEST(MapPlanner, WithinTheBudgetIsCloseToTheOptimum)
{
    std::mt19937_64 random(3);
    map_planner_settings settings;
    settings.slotsPerRank = 2;
    for (int round = 0; round < 200; ++round) {
        map_plan_request request;
        request.popularity = zipf(random, 4, 1);
        request.speeds = { 1, 1, 1 };
        const map_planner planner(settings);
        request.current = keep(planner.plan(request).value()->map);
        request.popularity = zipf(random, 4, 1);
        request.moveBudget = 1 + random() % 3;
        const auto plan = planner.plan(request).value();
        const double reached = plan ? plan->balanceAfter : mapBalance(*request.current, request.popularity, request.speeds);
        const rank_sets before = setsOf(*request.current, 3);
        const double optimum = bruteForce(request, 2, [&](const rank_sets& held) {
            int moves = 0;
            for (std::size_t rank = 0; rank < held.size(); ++rank) {
                const int added = std::popcount(held[rank] & ~before[rank]);
                if (added > static_cast<int>(settings.stagingSlotsPerRank))
                    return false;
                moves += added;
            }
            return moves <= static_cast<int>(request.moveBudget);
        });
        EXPECT_LE(reached, balanceBound * std::max(optimum, 1.0)) << "round " << round;
    }
}

// Guards against maps that are invalid or move more weights than allowed, over random sizes, popularities and speeds.
TEST(MapPlanner, ForAnyRequestKeepsSlotsSharesAndBudget)
{
    std::mt19937_64 random(4);
    for (int round = 0; round < 300; ++round) {
        map_planner_settings settings;
        settings.slotsPerRank = 1 + random() % 4;
        settings.stagingSlotsPerRank = 1 + random() % 2;
        const std::size_t ranks = 1 + random() % 24;
        const std::size_t experts = 1 + random() % (ranks * settings.slotsPerRank);
        const map_planner planner(settings);
        map_plan_request request;
        request.speeds = drawMany(random, ranks, 0.3, 1.5);
        request.popularity = zipf(random, experts, draw(random, 0, 2));
        request.popularity[random() % experts] = 0;
        request.current = keep(planner.plan(request).value()->map);
        expectValid(*request.current, request, settings);
        request.popularity = zipf(random, experts, draw(random, 0, 2));
        request.moveBudget = random() % 8;
        const auto plan = planner.plan(request).value();
        if (!plan)
            continue;
        expectValid(plan->map, request, settings);
        EXPECT_LT(plan->balanceAfter, plan->balanceBefore);
        EXPECT_LE(plan->moves, request.moveBudget);
        std::uint32_t moves = 0;
        for (const auto& [rank, added] : movesByRank(*request.current, plan->map)) {
            EXPECT_LE(added, settings.stagingSlotsPerRank);
            moves += added;
        }
        EXPECT_EQ(plan->moves, moves);
    }
}

// Guards against a slow rank that is not given less load although its speed is known, and so slows down the group.
TEST(MapPlanner, WithSlowRankGivesItLess)
{
    std::mt19937_64 random(5);
    const map_planner planner({});
    map_plan_request request;
    request.popularity = zipf(random, 64, 0.8);
    request.speeds.assign(64, 1);
    request.moveBudget = 64;
    request.current = keep(planner.plan(request).value()->map);
    request.speeds[7] = 1 / 1.5;
    const auto plan = planner.plan(request).value();
    ASSERT_TRUE(plan);
    EXPECT_GT(plan->balanceBefore, 1.4);
    EXPECT_LE(plan->balanceAfter, balanceBound);
}

// Guards against a new coordinator that replaces a good map because it has seen no traffic yet.
TEST(MapPlanner, WithUnknownPopularityKeepsTheMap)
{
    std::mt19937_64 random(7);
    const map_planner planner({});
    map_plan_request request;
    request.popularity = zipf(random, 64, 1);
    request.speeds.assign(64, 1);
    request.moveBudget = 16;
    request.current = keep(planner.plan(request).value()->map);
    const popularity_tracker tracker(64, std::chrono::minutes(1));
    request.popularity = tracker.popularity();
    request.longTermPopularity = tracker.longTermPopularity();
    request.popularityNoise = tracker.noise();
    EXPECT_FALSE(planner.plan(request).value());
}

// Guards against new maps and weight moves that are caused by noise alone.
TEST(MapPlanner, WithStationaryNoisyPopularityKeepsTheMap)
{
    constexpr std::size_t experts = 64;
    std::mt19937_64 random(6);
    const map_planner planner({});
    const std::vector<double> truth = zipf(random, experts, 0.8);
    popularity_tracker tracker(experts, std::chrono::minutes(2));
    popularity_report report { rank_id(0), incarnation(1), std::vector<std::uint64_t>(experts) };
    map_plan_request request;
    request.speeds.assign(experts, 1);
    request.moveBudget = 16;
    int plans = 0;
    for (int interval = 0; interval < 2000; ++interval) {
        for (std::size_t expert = 0; expert < experts; ++expert)
            report.tokens[expert] += static_cast<std::uint64_t>(1e6 * truth[expert] * draw(random, 0.9, 1.1));
        ASSERT_TRUE(tracker.report(report, time_point(std::chrono::seconds(15 * interval))).has_value());
        // Skips ten half-lives, after which the estimate no longer depends on the first reports.
        if (interval < 80)
            continue;
        request.popularity = tracker.popularity();
        request.popularityNoise = tracker.noise();
        request.longTermPopularity = tracker.longTermPopularity();
        const auto plan = planner.plan(request).value();
        if (!plan)
            continue;
        ++plans;
        request.current = keep(plan->map);
    }
    EXPECT_EQ(plans, 1) << "only the first map is needed";
}

}
