#include "bench/bench_line.h"
#include "bench/drifting_popularity.h"
#include "coordination/maps/map_balance.h"
#include "coordination/maps/map_planner.h"
#include "coordination/maps/popularity_tracker.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <limits>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

// Balance of the ranks and weight moves while the popularity of the experts drifts for three hours. A map that is
// planned in one interval is in force in the next. Time is virtual, except for plan-ms.

using namespace sardinelb;

namespace {

struct shape {
    std::uint32_t ranks;
    std::uint32_t experts;
    std::uint32_t slotsPerRank;
    double exponent;

    std::string name() const
    {
        std::string digits = std::to_string(exponent);
        return "zipf-" + digits.substr(0, 3) + "/ranks-" + std::to_string(ranks) + "-experts-" + std::to_string(experts)
            + "-slots-" + std::to_string(slotsPerRank);
    }
};

struct outcome {
    // Busiest rank over mean, by interval.
    std::vector<double> balances;
    double moves = 0;
    // Wall-clock time of each plan.
    std::vector<double> milliseconds;
};

using map_pointer = std::shared_ptr<const expert_map>;

// Plans the next map, or returns nothing to keep the current one.
using plan_hook = std::function<std::optional<map_plan>(const map_planner&, map_plan_request)>;

constexpr std::uint64_t seeds = 3;
constexpr std::chrono::seconds interval(15);
constexpr int intervals = 720;
// An expert's part of the traffic in one interval differs by this (one sigma) from its popularity. A group of 256 ranks
// gets about 300 requests/s (5,600 over 4,800 accelerators), each with experts of its own: 1/sqrt(4,500) is 1.5%.
constexpr double intervalNoise = 0.02;
constexpr double tokensPerInterval = 1e8;
constexpr std::chrono::seconds halfLife(60);
// Loading 16 experts of 2.5 GB takes 2 s of an interval at 20 GB/s.
constexpr std::uint32_t moveBudget = 16;

std::uint32_t movesBetween(const expert_map& from, const expert_map& to)
{
    std::uint32_t moves = 0;
    for (std::size_t expert = 0; expert < to.experts.size(); ++expert)
        for (const auto& replica : to.experts[expert])
            if (std::ranges::find(from.experts[expert], replica.rank, &expert_map::replica::rank)
                == from.experts[expert].end())
                ++moves;
    return moves;
}

outcome simulate(const shape& size, std::uint64_t seed, const plan_hook& planNext)
{
    map_planner_settings settings;
    settings.slotsPerRank = size.slotsPerRank;
    const map_planner planner(settings);
    const drifting_popularity truth(size.experts, size.exponent, seed);
    std::mt19937_64 random(seed);
    std::normal_distribution<double> noise(1, intervalNoise);
    popularity_tracker tracker(size.experts, halfLife);
    popularity_report report { rank_id(0), incarnation(1), std::vector<std::uint64_t>(size.experts) };
    map_plan_request request;
    request.popularity = truth.at(0);
    request.speeds.assign(size.ranks, 1);
    request.moveBudget = moveBudget;
    request.current = std::make_shared<const expert_map>(planner.plan(request).value()->map);
    outcome result;
    for (int number = 0; number < intervals; ++number) {
        const std::chrono::seconds now = number * interval;
        const std::vector<double> popularity = truth.at(std::chrono::duration<double, std::ratio<3600>>(now).count());
        result.balances.push_back(mapBalance(*request.current, popularity, request.speeds));
        for (std::size_t expert = 0; expert < size.experts; ++expert)
            report.tokens[expert] += static_cast<std::uint64_t>(tokensPerInterval * popularity[expert] * noise(random));
        (void)tracker.report(report, time_point(now));
        request.popularity = tracker.popularity();
        request.popularityNoise = tracker.noise();
        request.longTermPopularity = tracker.longTermPopularity();
        const auto started = std::chrono::steady_clock::now();
        const auto plan = planNext(planner, request);
        const std::chrono::duration<double, std::milli> taken = std::chrono::steady_clock::now() - started;
        if (!plan)
            continue;
        result.milliseconds.push_back(taken.count());
        result.moves += movesBetween(*request.current, plan->map);
        request.current = std::make_shared<const expert_map>(plan->map);
    }
    std::ranges::sort(result.balances);
    std::ranges::sort(result.milliseconds);
    return result;
}

std::optional<map_plan> planIncrementally(const map_planner& planner, const map_plan_request& request)
{
    return planner.plan(request).value();
}

std::optional<map_plan> keepMap(const map_planner&, const map_plan_request&)
{
    return std::nullopt;
}

// Plans a new map from nothing whenever ours would look for a better one.
std::optional<map_plan> planFromScratch(const map_planner& planner, map_plan_request request)
{
    const map_planner_settings settings;
    if (!(mapBalanceBeyondNoise(*request.current, request.popularity, request.speeds,
              settings.noiseFactor * request.popularityNoise)
            > settings.replanThreshold))
        return std::nullopt;
    request.current.reset();
    return planner.plan(request).value();
}

// Experts by rank.
std::vector<std::vector<std::size_t>> expertsByRank(const expert_map& map, std::size_t ranks)
{
    std::vector<std::vector<std::size_t>> held(ranks);
    for (std::size_t expert = 0; expert < map.experts.size(); ++expert)
        for (const auto& replica : map.experts[expert])
            held[replica.rank.value()].push_back(expert);
    return held;
}

// Renumbers the ranks of a map so that many replicas stay where they are in the current one. Pairs of ranks with the
// most experts in common come first. All ranks have the same speed.
expert_map matched(expert_map map, const expert_map& current, std::size_t ranks)
{
    struct pair {
        std::size_t common;
        std::size_t from;
        std::size_t to;
    };
    const auto planned = expertsByRank(map, ranks);
    const auto held = expertsByRank(current, ranks);
    std::vector<pair> pairs;
    for (std::size_t from = 0; from < ranks; ++from)
        for (std::size_t to = 0; to < ranks; ++to) {
            const auto isHeld = [&](std::size_t expert) { return std::ranges::binary_search(held[to], expert); };
            pairs.push_back({ static_cast<std::size_t>(std::ranges::count_if(planned[from], isHeld)), from, to });
        }
    std::ranges::stable_sort(pairs, std::greater<>(), &pair::common);
    constexpr auto none = std::numeric_limits<std::size_t>::max();
    std::vector<std::size_t> numbers(ranks, none);
    std::vector<bool> isTaken(ranks);
    for (const pair& candidate : pairs)
        if (numbers[candidate.from] == none && !isTaken[candidate.to]) {
            numbers[candidate.from] = candidate.to;
            isTaken[candidate.to] = true;
        }
    for (auto& replicas : map.experts)
        for (auto& replica : replicas)
            replica.rank = rank_id(static_cast<std::uint32_t>(numbers[replica.rank.value()]));
    return map;
}

std::optional<map_plan> planFromScratchAndMatch(const map_planner& planner, const map_plan_request& request)
{
    auto plan = planFromScratch(planner, request);
    if (plan)
        plan->map = matched(std::move(plan->map), *request.current, request.speeds.size());
    return plan;
}

double mean(const std::vector<double>& values)
{
    double sum = 0;
    for (const double value : values)
        sum += value;
    return sum / static_cast<double>(values.size());
}

double percentile(const std::vector<double>& sorted, std::size_t percent)
{
    return sorted.empty() ? 0 : sorted[(sorted.size() - 1) * percent / 100];
}

void compareBalance(const std::string& name, std::uint64_t seed, const outcome& ours, const outcome& other)
{
    const auto print = [&](const std::string& statistic, double mine, double theirs) {
        printBenchLine("expert-map", "balance/" + name + "/" + statistic, seed, mine, theirs, "busiest over mean");
    };
    print("mean", mean(ours.balances), mean(other.balances));
    print("p99", percentile(ours.balances, 99), percentile(other.balances, 99));
    print("max", ours.balances.back(), other.balances.back());
}

void measure(const shape& size, std::uint64_t seed)
{
    const outcome ours = simulate(size, seed, planIncrementally);
    const outcome fixed = simulate(size, seed, keepMap);
    const outcome scratch = simulate(size, seed, planFromScratch);
    const outcome relabelled = simulate(size, seed, planFromScratchAndMatch);
    const std::string name = size.name();
    compareBalance(name + "/vs-static", seed, ours, fixed);
    compareBalance(name + "/vs-scratch", seed, ours, scratch);
    printBenchLine("expert-map", "moves/" + name + "/vs-scratch", seed, ours.moves, scratch.moves, "weight moves");
    printBenchLine(
        "expert-map", "moves/" + name + "/vs-scratch-matched", seed, ours.moves, relabelled.moves, "weight moves");
    printBenchLine("expert-map", "plan-ms/" + name + "/p50/vs-scratch", seed, percentile(ours.milliseconds, 50),
        percentile(scratch.milliseconds, 50), "ms wall-clock");
    printBenchLine("expert-map", "plan-ms/" + name + "/max/vs-scratch", seed, percentile(ours.milliseconds, 100),
        percentile(scratch.milliseconds, 100), "ms wall-clock");
}

}

int main()
{
    for (const double exponent : { 0.8, 1.0 })
        for (const shape& size : { shape { 16, 256, 18, exponent }, shape { 256, 256, 2, exponent } })
            for (std::uint64_t seed = 1; seed <= seeds; ++seed)
                measure(size, seed);
}
