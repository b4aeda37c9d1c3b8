#include "coordination/routing/pool_baseline.h"

#include "coordination/routing/routed_runner.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace sardinelb {

namespace {

using namespace std::chrono_literals;

// With fewer runners, the median does not show which of them is slow.
constexpr std::size_t minRunnersForMedian = 3;
// A runner is avoided if it takes longer than this multiple of the baseline. Below that, its load is weighted by its
// speed.
constexpr int slowFactor = 3;
// Smaller differences in the time to first token are noise from scheduling and prefill.
constexpr duration firstTokenNoise = 250ms;

duration medianOf(std::vector<duration> values)
{
    if (values.size() < minRunnersForMedian)
        return duration::zero();
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

}

pool_baseline baselineOf(const std::vector<routed_runner*>& runners)
{
    std::vector<duration> intervals;
    std::vector<duration> firstTokenTimes;
    for (const routed_runner* runner : runners) {
        if (runner->load.report().tokenInterval > duration::zero())
            intervals.push_back(runner->load.report().tokenInterval);
        if (const auto timeToFirstToken = runner->health.minTimeToFirstToken())
            firstTokenTimes.push_back(*timeToFirstToken);
    }
    return { medianOf(std::move(intervals)), medianOf(std::move(firstTokenTimes)) };
}

duration slowFirstTokenThreshold(const pool_baseline& baseline)
{
    return baseline.timeToFirstToken > duration::zero() ? slowFactor * baseline.timeToFirstToken + firstTokenNoise
                                                        : duration::max();
}

bool isSlow(const routed_runner& runner, const pool_baseline& baseline)
{
    const auto timeToFirstToken = runner.health.minTimeToFirstToken();
    if (timeToFirstToken && *timeToFirstToken > slowFirstTokenThreshold(baseline))
        return true;
    return baseline.tokenInterval > duration::zero()
        && runner.load.report().tokenInterval > slowFactor * baseline.tokenInterval;
}

double relativeTokenInterval(const routed_runner& runner, const pool_baseline& baseline)
{
    const duration interval = runner.load.report().tokenInterval;
    if (interval <= duration::zero() || baseline.tokenInterval <= duration::zero())
        return 1;
    return static_cast<double>(interval.count()) / static_cast<double>(baseline.tokenInterval.count());
}

}
