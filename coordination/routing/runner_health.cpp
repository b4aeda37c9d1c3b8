#include "coordination/routing/runner_health.h"

#include <algorithm>
#include <chrono>

namespace sardinelb {

namespace {

using namespace std::chrono_literals;

// One failure may be the request's own fault; three in a row are the runner's.
constexpr std::uint32_t failuresUntilAvoided = 3;
// Time until the first probe, doubled with each probe that shows no recovery.
constexpr duration firstPause = 1s;
constexpr duration longestPause = 30s;
// A recovering runner with this many attempts in flight is trusted again.
constexpr std::size_t trustedInFlight = 16;

}

void runner_health::firstPart(duration waited) { m_firstParts[m_firstPartCount++ % keptFirstParts] = waited; }

void runner_health::succeeded(bool isProbe)
{
    if (m_stage == stage::Avoided && !isProbe)
        return;
    m_failuresInRow = 0;
    if (m_stage != stage::Trusted)
        recoverFurther();
}

void runner_health::failed(bool isProbe, time_point now)
{
    if (m_stage == stage::Avoided) {
        if (isProbe)
            pauseLonger(now);
        return;
    }
    ++m_failuresInRow;
    if (m_stage == stage::Recovering || m_failuresInRow >= failuresUntilAvoided)
        avoid(now);
}

void runner_health::probeWasted(time_point now)
{
    if (m_stage == stage::Avoided)
        m_nextProbe = std::min(m_nextProbe, now + firstPause);
}

std::optional<duration> runner_health::bestFirstPart() const
{
    if (m_firstPartCount < keptFirstParts)
        return std::nullopt;
    return *std::min_element(m_firstParts.begin(), m_firstParts.end());
}

void runner_health::avoid(time_point now)
{
    if (m_stage == stage::Avoided)
        return;
    m_stage = stage::Avoided;
    m_failuresInRow = 0;
    m_firstPartCount = 0;
    pauseLonger(now);
}

bool runner_health::mayTake(std::size_t ownInFlight) const
{
    switch (m_stage) {
    case stage::Trusted:
        return true;
    case stage::Avoided:
        return false;
    case stage::Recovering:
        return ownInFlight < m_allowedInFlight;
    }
    return false;
}

bool runner_health::wantsProbe(time_point now) const { return m_stage == stage::Avoided && now >= m_nextProbe; }

void runner_health::probeChosen(time_point now) { m_nextProbe = now + longestPause; }

void runner_health::pauseLonger(time_point now)
{
    m_pause = std::clamp(2 * m_pause, firstPause, longestPause);
    m_nextProbe = now + m_pause;
}

void runner_health::recoverFurther()
{
    m_allowedInFlight = m_stage == stage::Avoided ? 1 : 2 * m_allowedInFlight;
    m_stage = stage::Recovering;
    if (m_allowedInFlight < trustedInFlight)
        return;
    m_stage = stage::Trusted;
    m_pause = duration::zero();
}

}
