#include "bench/bench_line.h"
#include "bench/drifting_popularity.h"
#include "bench/group_simulation.h"

#include <cstdint>
#include <limits>
#include <string>

// Step-time skew of a group before and after one rank becomes 1.5 times slower, and the time until the skew is at most
// 1.1 for good. Runs the decision modules in virtual time; weight moves go through a rate-limited store.

using namespace sardinelb;

namespace {

struct shape {
    std::uint32_t ranks;
    std::uint32_t slotsPerRank;
    // Part of a step's work that does not depend on the map.
    double fixedPart;
};

struct outcome {
    double skewAfter = 0;
    double settleSeconds = 0;
};

using plan_hook = std::optional<map_plan> (*)(const map_planner&, const map_plan_request&);

constexpr std::uint64_t seeds = 3;
constexpr std::uint32_t experts = 256;
constexpr double slowness = 1.5;
constexpr double settledSkew = 1.1;
constexpr std::chrono::seconds timeBefore(60);
constexpr std::chrono::seconds timeAfter(120);
// The skew after the change is the mean over the last part.
constexpr std::chrono::seconds measuredTime(30);
constexpr std::chrono::milliseconds sampleInterval(100);

std::optional<map_plan> planIncrementally(const map_planner& planner, const map_plan_request& request)
{
    return planner.plan(request).value();
}

std::optional<map_plan> keepMap(const map_planner&, const map_plan_request&)
{
    return std::nullopt;
}

// Plans from nothing whenever the incremental planner would look for a better map, and loads as much as it takes.
std::optional<map_plan> planFromScratch(const map_planner& planner, const map_plan_request& request)
{
    const map_planner_settings settings;
    if (!(mapBalanceBeyondNoise(*request.current, request.popularity, request.speeds,
              settings.noiseFactor * request.popularityNoise)
            > settings.replanThreshold))
        return std::nullopt;
    map_plan_request fromNothing = request;
    fromNothing.current.reset();
    return planner.plan(fromNothing).value();
}

outcome simulate(const shape& size, std::uint64_t seed, plan_hook plan)
{
    group_simulation::settings settings;
    settings.ranks = size.ranks;
    settings.planner.slotsPerRank = size.slotsPerRank;
    settings.popularity = drifting_popularity(experts, 1, seed).at(0);
    settings.fixedPart = size.fixedPart;
    settings.seed = seed;
    settings.plan = plan;
    group_simulation group(settings);
    while (!group.hasStarted())
        group.runUntil(group.now() + sampleInterval);
    group.runUntil(group.now() + timeBefore);
    outcome result;
    group.setSpeed(seed % size.ranks, 1 / slowness);
    const time_point changedAt = group.now();
    const time_point end = changedAt + timeAfter;
    double sum = 0;
    int samples = 0;
    while (group.now() < end) {
        group.runUntil(group.now() + sampleInterval);
        if (group.skew() > settledSkew)
            result.settleSeconds = std::chrono::duration<double>(group.now() - changedAt).count();
        if (group.now() >= end - measuredTime) {
            sum += group.skew();
            ++samples;
        }
    }
    result.skewAfter = sum / samples;
    if (result.settleSeconds >= std::chrono::duration<double>(timeAfter).count())
        result.settleSeconds = std::numeric_limits<double>::infinity();
    return result;
}

void measure(const shape& size, std::uint64_t seed)
{
    const outcome ours = simulate(size, seed, planIncrementally);
    const std::string name = "one-slow-1.5" + std::string(size.fixedPart > 0 ? "-fixed-work" : "") + "/ranks-"
        + std::to_string(size.ranks) + "-experts-" + std::to_string(experts) + "-slots-"
        + std::to_string(size.slotsPerRank);
    const auto compare = [&](const outcome& other, const std::string& baseline) {
        printBenchLine(
            "straggler", "skew-after/" + name + "/vs-" + baseline, seed, ours.skewAfter, other.skewAfter, "busiest over mean");
        printBenchLine(
            "straggler", "settle-s/" + name + "/vs-" + baseline, seed, ours.settleSeconds, other.settleSeconds, "s");
    };
    compare(simulate(size, seed, keepMap), "static");
    compare(simulate(size, seed, planFromScratch), "scratch");
}

}

int main()
{
    for (const double fixedPart : { 0.0, 0.2 })
        for (const shape& size : { shape { 16, 18, fixedPart }, shape { 256, 2, fixedPart } })
            for (std::uint64_t seed = 1; seed <= seeds; ++seed)
                measure(size, seed);
}
