#include "serving/group_limit.h"

#include "serving/engine_profile.h"

#include <algorithm>

namespace sardinelb {

namespace {

// An update evaluates the passes of at least this interval together.
constexpr duration updateInterval = std::chrono::milliseconds(100);
constexpr std::uint32_t minPassesPerUpdate = 8;

// Fraction of the objective that an average pass may take. Passes that prefill long prompts take longer than average.
constexpr double targetObjectiveFraction = 0.85;

// Below this fraction of the slots, passes hardly become shorter and many requests are rejected.
constexpr double minSlotFraction = 0.5;

// Weight of a new limit. Requests that already run when the limit changes end within a second or two.
constexpr double limitSmoothingFactor = 0.4;

// Weight of a new pass in the moving average. A group has some hundred events per second.
constexpr double passSmoothingFactor = 0.03;

double milliseconds(duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

}

group_limit::group_limit(std::uint32_t slots)
    : m_slots(slots)
    , m_limit(slots)
{
}

void group_limit::onPass(duration gap, duration objective)
{
    const double ms = milliseconds(gap);
    m_smoothedPassMs = m_smoothedPassMs == 0 ? ms : m_smoothedPassMs + passSmoothingFactor * (ms - m_smoothedPassMs);
    m_passSumMs += ms;
    m_objectiveMs = milliseconds(objective);
    ++m_passCount;
}

bool group_limit::isUpdateDue(time_point now) const
{
    return m_passCount >= minPassesPerUpdate && now - m_updatedAt > updateInterval;
}

void group_limit::update(const engine_profile& engine, double meanRunning, time_point now)
{
    // Passes take longer than the engine profile predicts, because of imbalance in the expert map and of prompt prefill. The
    // ratio of the two is assumed not to depend on the number of requests.
    const double profileStepMs = engine.stepMs + engine.stepMsPerRequest * meanRunning;
    const double passMs = m_passSumMs / m_passCount;
    m_passCount = 0;
    m_passSumMs = 0;
    m_updatedAt = now;
    if (profileStepMs <= 0 || engine.stepMsPerRequest <= 0)
        return;
    const double allowedMs = targetObjectiveFraction * m_objectiveMs * profileStepMs / passMs;
    const double allowedRequests = (allowedMs - engine.stepMs) / engine.stepMsPerRequest;
    const double targetLimit = std::clamp(allowedRequests, m_slots * minSlotFraction, m_slots);
    m_limit += limitSmoothingFactor * (targetLimit - m_limit);
    // Exponential smoothing alone approaches the slots but never reaches them.
    if (m_slots - m_limit < 0.05)
        m_limit = m_slots;
}

}
