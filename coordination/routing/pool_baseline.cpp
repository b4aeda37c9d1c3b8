#include "coordination/routing/pool_baseline.h"

#include "coordination/routing/routed_runner.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace sardinelb {

namespace {

using namespace std::chrono_literals;

// With fewer runners a median does not tell which of them is slow.
constexpr std::size_t leastRunnersForMedian = 3;
// A runner is avoided above this multiple of the usual time. Below it, its load is weighted by its speed.
constexpr int slowFactor = 3;
// Differences in the first part of an answer below this are noise of scheduling and prefill.
constexpr duration firstPartNoise = 250ms;

duration medianOf(std::vector<duration> values)
{
    if (values.size() < leastRunnersForMedian)
        return duration::zero();
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

}

pool_baseline baselineOf(const std::vector<routed_runner*>& runners)
{
    std::vector<duration> intervals;
    std::vector<duration> firstParts;
    for (const routed_runner* runner : runners) {
        if (runner->load.report().tokenInterval > duration::zero())
            intervals.push_back(runner->load.report().tokenInterval);
        if (const auto firstPart = runner->health.bestFirstPart())
            firstParts.push_back(*firstPart);
    }
    return { medianOf(std::move(intervals)), medianOf(std::move(firstParts)) };
}

duration slowFirstPart(const pool_baseline& usual)
{
    return usual.firstPart > duration::zero() ? slowFactor * usual.firstPart + firstPartNoise : duration::max();
}

bool isSlow(const routed_runner& runner, const pool_baseline& usual)
{
    const auto firstPart = runner.health.bestFirstPart();
    if (firstPart && *firstPart > slowFirstPart(usual))
        return true;
    return usual.tokenInterval > duration::zero()
        && runner.load.report().tokenInterval > slowFactor * usual.tokenInterval;
}

double relativeTokenTime(const routed_runner& runner, const pool_baseline& usual)
{
    const duration interval = runner.load.report().tokenInterval;
    if (interval <= duration::zero() || usual.tokenInterval <= duration::zero())
        return 1;
    return static_cast<double>(interval.count()) / static_cast<double>(usual.tokenInterval.count());
}

}
