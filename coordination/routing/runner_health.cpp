#include "coordination/routing/runner_health.h"

#include <algorithm>
#include <chrono>

namespace sardinelb {

namespace {

using namespace std::chrono_literals;

// A single failure may be caused by the request; three in a row are attributed to the runner.
constexpr std::uint32_t failuresUntilAvoided = 3;
// Delay before the first probe; doubles with each failed probe up to the maximum.
constexpr duration initialProbeDelay = 1s;
constexpr duration maxProbeDelay = 30s;
// A recovering runner is healthy again once its limit of attempts in flight reaches this number.
constexpr std::size_t healthyInFlight = 16;

}

void runner_health::onFirstToken(duration waited)
{
    m_firstTokenTimes[m_firstTokenCount++ % firstTokenSamples] = waited;
}

void runner_health::onAttemptSucceeded(bool isProbe)
{
    if (m_stage == stage::Avoided && !isProbe)
        return;
    m_failuresInRow = 0;
    if (m_stage != stage::Healthy)
        advanceRecovery();
}

void runner_health::onAttemptFailed(bool isProbe, time_point now)
{
    if (m_stage == stage::Avoided) {
        if (isProbe)
            delayNextProbe(now);
        return;
    }
    ++m_failuresInRow;
    if (m_stage == stage::Recovering || m_failuresInRow >= failuresUntilAvoided)
        avoid(now);
}

void runner_health::onProbeInconclusive(time_point now)
{
    if (m_stage == stage::Avoided)
        m_nextProbe = std::min(m_nextProbe, now + initialProbeDelay);
}

std::optional<duration> runner_health::minTimeToFirstToken() const
{
    if (m_firstTokenCount < firstTokenSamples)
        return std::nullopt;
    return *std::min_element(m_firstTokenTimes.begin(), m_firstTokenTimes.end());
}

void runner_health::avoid(time_point now)
{
    if (m_stage == stage::Avoided)
        return;
    m_stage = stage::Avoided;
    m_failuresInRow = 0;
    m_firstTokenCount = 0;
    delayNextProbe(now);
}

bool runner_health::canTake(std::size_t ownInFlight) const
{
    switch (m_stage) {
    case stage::Healthy:
        return true;
    case stage::Avoided:
        return false;
    case stage::Recovering:
        return ownInFlight < m_allowedInFlight;
    }
    return false;
}

bool runner_health::isProbeDue(time_point now) const { return m_stage == stage::Avoided && now >= m_nextProbe; }

void runner_health::onProbeChosen(time_point now) { m_nextProbe = now + maxProbeDelay; }

void runner_health::delayNextProbe(time_point now)
{
    m_probeDelay = std::clamp(2 * m_probeDelay, initialProbeDelay, maxProbeDelay);
    m_nextProbe = now + m_probeDelay;
}

void runner_health::advanceRecovery()
{
    m_allowedInFlight = m_stage == stage::Avoided ? 1 : 2 * m_allowedInFlight;
    m_stage = stage::Recovering;
    if (m_allowedInFlight < healthyInFlight)
        return;
    m_stage = stage::Healthy;
    m_probeDelay = duration::zero();
}

}
