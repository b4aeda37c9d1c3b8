#include "coordination/queueing/token_interval_estimator.h"

#include <chrono>

namespace sardinelb {

namespace {

// Number of recent tokens in the moving average. A runner with 8 streams at 20 ms per token generates them in about a
// second, so a change of speed shows within seconds.
constexpr double averagingWindowTokens = 500;
// Maximum age of a recent observation. Older ones only occur on a runner that is idle or stalled, which gets work
// whatever the estimate.
constexpr duration recentWithin = std::chrono::seconds(10);

}

token_interval_estimator::token_interval_estimator(duration initial)
    : m_interval(static_cast<double>(initial.count()))
{
}

void token_interval_estimator::observe(duration elapsed, std::int64_t tokens, time_point now)
{
    m_observedAt = now;
    const auto count = static_cast<double>(tokens);
    const double sample = static_cast<double>(elapsed.count()) / count;
    m_interval += (sample - m_interval) * count / (count + averagingWindowTokens);
}

bool token_interval_estimator::isRecent(time_point now) const
{
    return m_observedAt && now - *m_observedAt <= recentWithin;
}

duration token_interval_estimator::interval() const { return duration(static_cast<duration::rep>(m_interval)); }

}
