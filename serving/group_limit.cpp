#include "serving/group_limit.h"

#include "serving/engine_profile.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace sardinelb {

namespace {

// An update evaluates the passes of at least this interval together.
constexpr duration updateInterval = std::chrono::milliseconds(100);
constexpr std::uint32_t minPassesPerUpdate = 8;

// Passes of this time determine the limit. It covers the time between two shifts of the demand.
constexpr duration slowdownWindow = std::chrono::seconds(5);

// Fraction of the window's samples that may be slower than the one that determines the limit.
constexpr double slowestFraction = 0.04;

// A longer gap, relative to the objective, means that the group stood still, against which no limit helps.
constexpr double stallObjectiveFactor = 3;

// Fraction of the objective that a slow pass may take. Passes that prefill long prompts take longer than others.
constexpr double targetObjectiveFraction = 0.9;

// Below this fraction of the slots, passes hardly become shorter and many requests are rejected.
constexpr double minSlotFraction = 0.4;

// Weight of a new limit that is higher than the present one. A lower one holds at once, because requests that already run
// delay its effect by a second or two.
constexpr double limitRiseFactor = 0.4;

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
    if (ms > stallObjectiveFactor * milliseconds(objective))
        return;
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
    m_slowdowns.push_back({ now, passMs / profileStepMs });
    while (now - m_slowdowns.front().at > slowdownWindow)
        m_slowdowns.pop_front();
    m_slowdown = highSlowdown();
    const double allowedMs = targetObjectiveFraction * m_objectiveMs / m_slowdown;
    const double allowedRequests = (allowedMs - engine.stepMs) / engine.stepMsPerRequest;
    const double target = std::clamp(allowedRequests, m_slots * minSlotFraction, m_slots);
    m_limit = target < m_limit ? target : m_limit + limitRiseFactor * (target - m_limit);
    // Exponential smoothing alone approaches the slots but never reaches them.
    if (m_slots - m_limit < 0.05)
        m_limit = m_slots;
}

double group_limit::highSlowdown() const
{
    std::vector<double> sorted;
    sorted.reserve(m_slowdowns.size());
    for (const slowdown_sample& sample : m_slowdowns)
        sorted.push_back(sample.slowdown);
    const auto rank = static_cast<std::ptrdiff_t>((1 - slowestFraction) * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), sorted.begin() + rank, sorted.end());
    return sorted[static_cast<std::size_t>(rank)];
}

}
