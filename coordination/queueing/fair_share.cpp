#include "coordination/queueing/fair_share.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace sardinelb {

namespace {

// Smoothing factor of the exponential moving average of attempt costs.
constexpr double typicalCostSmoothing = 1.0 / 64;
// Time constant with which demand ahead of the share decays; demand changes within seconds.
constexpr double demandDecaySeconds = 30;
// Bound on demand ahead of the share, so that a team returns to its share soon after a burst.
constexpr double maxDemandAheadAttempts = 16;
// Idle teams are not removed while fewer teams than this are stored.
constexpr std::size_t minTeamsBeforeCleanup = 64;

}

team_share& fair_share::onAttemptArrived(const team_id& team, double weight, double cost, time_point now)
{
    m_typicalCost += (cost - m_typicalCost) * (m_typicalCost == 0 ? 1 : typicalCostSmoothing);
    team_share& share = m_teams[team];
    if (share.attempts++ > 0)
        m_activeWeight -= share.weight;
    else
        ++m_activeTeams;
    share.weight = std::max(1.0, weight);
    m_activeWeight += share.weight;
    recordDemand(share, cost, now);
    return share;
}

double fair_share::onAttemptStarted(team_share& share, double cost)
{
    const double startTag = std::max(m_virtualTime, share.finishTag);
    share.finishTag = startTag + cost / share.weight;
    advanceVirtualTime(cost);
    return startTag;
}

void fair_share::correctCost(team_share& share, double difference)
{
    share.finishTag += difference / share.weight;
    advanceVirtualTime(difference);
}

void fair_share::onAttemptLeft(team_share& share)
{
    if (--share.attempts > 0)
        return;
    --m_activeTeams;
    m_activeWeight = m_activeTeams == 0 ? 0 : m_activeWeight - share.weight;
    removeIdleTeams();
}

void fair_share::beginTagPass() { ++m_tagPass; }

double fair_share::nextStartTag(team_share& share, double cost) const
{
    if (std::exchange(share.tagPass, m_tagPass) != m_tagPass)
        share.tagPassCost = 0;
    const double before = std::exchange(share.tagPassCost, share.tagPassCost + cost);
    return std::max(m_virtualTime, share.finishTag) + before / share.weight;
}

double fair_share::attemptsAhead(const team_share& share, double startTag) const
{
    const double cost = (startTag - m_virtualTime) * share.weight;
    return m_typicalCost > 0 ? std::max(0.0, cost / m_typicalCost) : 0;
}

double fair_share::demandAhead(const team_share& share) const { return attemptsAhead(share, share.demandTag); }

void fair_share::recordDemand(team_share& share, double cost, time_point now) const
{
    const double elapsed = std::chrono::duration<double>(now - share.lastArrival).count();
    const double ahead = std::max(0.0, share.demandTag - m_virtualTime) * std::exp(-elapsed / demandDecaySeconds);
    const double most = maxDemandAheadAttempts * m_typicalCost / share.weight;
    share.demandTag = m_virtualTime + std::min(most, ahead + cost / share.weight);
    share.lastArrival = now;
}

void fair_share::advanceVirtualTime(double cost)
{
    if (m_activeWeight > 0)
        m_virtualTime += cost / m_activeWeight;
}

void fair_share::removeIdleTeams()
{
    // An empty queue ends the busy period; in the next one no team is ahead of its share.
    if (m_activeTeams == 0) {
        m_teams.clear();
        return;
    }
    if (m_teams.size() < std::max(minTeamsBeforeCleanup, m_cleanupSize))
        return;
    std::erase_if(m_teams, [this](const auto& entry) {
        const team_share& share = entry.second;
        return share.attempts == 0 && share.finishTag <= m_virtualTime && share.demandTag <= m_virtualTime;
    });
    m_cleanupSize = 2 * m_teams.size();
}

}
