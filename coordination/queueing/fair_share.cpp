#include "coordination/queueing/fair_share.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace sardinelb {

namespace {

// Weight of a new attempt in the typical cost.
constexpr double costStep = 1.0 / 64;
// Demand ahead of the share is forgotten over this time; demand swings within seconds.
constexpr double demandMemorySeconds = 30;
// Bound on demand ahead of the share, in attempts, so that a team is soon back within its share after a swing.
constexpr double mostDemandAhead = 16;
// Teams that are kept before idle ones are looked for.
constexpr std::size_t leastTeamsKept = 64;

}

team_share& fair_share::asked(const team_id& team, double weight, double cost, time_point now)
{
    m_typicalCost += (cost - m_typicalCost) * (m_typicalCost == 0 ? 1 : costStep);
    team_share& share = m_teams[team];
    if (share.attempts++ > 0)
        m_activeWeight -= share.weight;
    else
        ++m_activeTeams;
    share.weight = std::max(1.0, weight);
    m_activeWeight += share.weight;
    noteDemand(share, cost, now);
    return share;
}

double fair_share::onAttemptStarted(team_share& share, double cost)
{
    const double startTag = std::max(m_virtualTime, share.tag);
    share.tag = startTag + cost / share.weight;
    advance(cost);
    return startTag;
}

void fair_share::correct(team_share& share, double difference)
{
    share.tag += difference / share.weight;
    advance(difference);
}

void fair_share::left(team_share& share)
{
    if (--share.attempts > 0)
        return;
    --m_activeTeams;
    m_activeWeight = m_activeTeams == 0 ? 0 : m_activeWeight - share.weight;
    forgetIdleTeams();
}

void fair_share::beginWalk() { ++m_walk; }

double fair_share::nextStartTag(team_share& share, double cost) const
{
    if (std::exchange(share.walk, m_walk) != m_walk)
        share.walkedCost = 0;
    const double before = std::exchange(share.walkedCost, share.walkedCost + cost);
    return std::max(m_virtualTime, share.tag) + before / share.weight;
}

double fair_share::attemptsAhead(const team_share& share, double startTag) const
{
    const double cost = (startTag - m_virtualTime) * share.weight;
    return m_typicalCost > 0 ? std::max(0.0, cost / m_typicalCost) : 0;
}

double fair_share::demandAhead(const team_share& share) const { return attemptsAhead(share, share.demandTag); }

void fair_share::noteDemand(team_share& share, double cost, time_point now) const
{
    const double elapsed = std::chrono::duration<double>(now - share.askedAt).count();
    const double ahead = std::max(0.0, share.demandTag - m_virtualTime) * std::exp(-elapsed / demandMemorySeconds);
    const double most = mostDemandAhead * m_typicalCost / share.weight;
    share.demandTag = m_virtualTime + std::min(most, ahead + cost / share.weight);
    share.askedAt = now;
}

void fair_share::advance(double cost)
{
    if (m_activeWeight > 0)
        m_virtualTime += cost / m_activeWeight;
}

void fair_share::forgetIdleTeams()
{
    // A queue that has run empty starts a new busy period, in which no team is ahead.
    if (m_activeTeams == 0) {
        m_teams.clear();
        return;
    }
    if (m_teams.size() < std::max(leastTeamsKept, m_forgetAt))
        return;
    std::erase_if(m_teams, [this](const auto& entry) {
        const team_share& share = entry.second;
        return share.attempts == 0 && share.tag <= m_virtualTime && share.demandTag <= m_virtualTime;
    });
    m_forgetAt = 2 * m_teams.size();
}

}
