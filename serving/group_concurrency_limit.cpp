#include "serving/group_concurrency_limit.h"

#include "serving/engine_profile.h"

#include <algorithm>

namespace sardinelb {

namespace {

// Passes of this time are judged together.
constexpr duration updateInterval = std::chrono::milliseconds(100);
constexpr std::uint32_t minPassesPerUpdate = 8;

// Part of the objective that the usual pass may take; passes that read long prompts take longer than the usual one.
constexpr double targetObjectiveFraction = 0.85;

// Below this part of the slots, passes hardly become shorter and much is turned away.
constexpr double minSlotFraction = 0.5;

// Weight of a new limit. Requests that run when the limit changes end within a second or two.
constexpr double limitSmoothingFactor = 0.4;

// Weight of a new pass; a group has some hundred events a second.
constexpr double passSmoothingFactor = 0.03;

double milliseconds(duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

}

group_concurrency_limit::group_concurrency_limit(std::uint32_t slots)
    : m_slots(slots)
    , m_limit(slots)
{
}

void group_concurrency_limit::onPass(duration gap, duration objective)
{
    const double ms = milliseconds(gap);
    m_smoothedPassMs = m_smoothedPassMs == 0 ? ms : m_smoothedPassMs + passSmoothingFactor * (ms - m_smoothedPassMs);
    m_passSumMs += ms;
    m_objectiveMs = milliseconds(objective);
    ++m_passCount;
}

bool group_concurrency_limit::isUpdateDue(time_point now) const
{
    return m_passCount >= minPassesPerUpdate && now - m_updatedAt > updateInterval;
}

void group_concurrency_limit::update(const engine_profile& engine, double meanRunning, time_point now)
{
    // Passes take longer than the engine's own steps by what the expert map and the reading of prompts add. That factor is
    // taken to be the same at another number of requests.
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
    // The sum of ever smaller steps never reaches the slots by itself.
    if (m_slots - m_limit < 0.05)
        m_limit = m_slots;
}

}
