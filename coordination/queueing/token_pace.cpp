#include "coordination/queueing/token_pace.h"

#include <chrono>

namespace sardinelb {

namespace {

// Tokens that the average reaches back. A runner with 8 streams at 20 ms produces them in about a second, so that a
// change of speed shows within seconds.
constexpr double averagedTokens = 500;
// Observations are older than this only when nothing runs; a runner that is idle or has stalled gets work to try.
constexpr duration recentWithin = std::chrono::seconds(10);

}

token_pace::token_pace(duration initial)
    : m_interval(static_cast<double>(initial.count()))
{
}

void token_pace::observe(duration elapsed, std::int64_t tokens, time_point now)
{
    m_observedAt = now;
    const auto count = static_cast<double>(tokens);
    const double sample = static_cast<double>(elapsed.count()) / count;
    m_interval += (sample - m_interval) * count / (count + averagedTokens);
}

bool token_pace::isRecent(time_point now) const { return m_observedAt && now - *m_observedAt <= recentWithin; }

duration token_pace::interval() const { return duration(static_cast<duration::rep>(m_interval)); }

}
