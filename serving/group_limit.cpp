#include "serving/group_limit.h"

#include "serving/engine_profile.h"

#include <algorithm>

namespace sardinelb {

namespace {

// Passes of this time are judged together.
constexpr duration updateInterval = std::chrono::milliseconds(100);
constexpr std::uint32_t fewestPasses = 8;

// Part of the objective that the usual pass may take; passes that read long prompts take longer than the usual one.
constexpr double usedPartOfObjective = 0.85;

// Below this part of the slots, passes hardly become shorter and much is turned away.
constexpr double lowestPart = 0.5;

// Weight of a new limit. Requests that run when the limit changes end within a second or two.
constexpr double limitSmoothing = 0.4;

// Weight of a new pass; a group has some hundred events a second.
constexpr double passSmoothing = 0.03;

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

void group_limit::passSeen(duration gap, duration objective)
{
    const double ms = milliseconds(gap);
    m_usualPassMs = m_usualPassMs == 0 ? ms : m_usualPassMs + passSmoothing * (ms - m_usualPassMs);
    m_sumMs += ms;
    m_objectiveMs = milliseconds(objective);
    ++m_passes;
}

bool group_limit::isDue(time_point now) const
{
    return m_passes >= fewestPasses && now - m_updatedAt > updateInterval;
}

void group_limit::update(const engine_profile& engine, double meanRunning, time_point now)
{
    // Passes take longer than the engine's own steps by what the expert map and the reading of prompts add. That factor is
    // taken to be the same at another number of requests.
    const double ownMs = engine.stepMs + engine.stepMsPerRequest * meanRunning;
    const double passMs = m_sumMs / m_passes;
    m_passes = 0;
    m_sumMs = 0;
    m_updatedAt = now;
    if (ownMs <= 0 || engine.stepMsPerRequest <= 0)
        return;
    const double allowedMs = usedPartOfObjective * m_objectiveMs * ownMs / passMs;
    const double allowedRequests = (allowedMs - engine.stepMs) / engine.stepMsPerRequest;
    const double wanted = std::clamp(allowedRequests, m_slots * lowestPart, m_slots);
    m_limit += limitSmoothing * (wanted - m_limit);
    // The sum of ever smaller steps never reaches the slots by itself.
    if (m_slots - m_limit < 0.05)
        m_limit = m_slots;
}

}
