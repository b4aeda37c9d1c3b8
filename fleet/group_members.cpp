#include "fleet/group_members.h"

#include <algorithm>
#include <utility>

namespace sardinelb {

namespace {

// Candidates for coordinator are removed when no entry has heard of them for this long. News of them takes two heartbeats.
constexpr duration candidateTimeout = std::chrono::milliseconds(2500);

// The standby coordinator takes over when no report of the coordinator, sent ten times a second, has arrived for this long.
constexpr duration coordinatorTimeout = std::chrono::milliseconds(500);

// A collector of demand that has been silent for this long is passed over.
constexpr duration reportTimeout = std::chrono::milliseconds(1000);

// Agents that receive the reports of all ranks: the coordinator and the standby coordinator.
constexpr std::size_t coordinatorCount = 2;

}

void group_members::onCandidate(rank_id rank, const std::string& address, duration age, time_point now)
{
    time_point& heardAt = m_candidates[rank];
    if (now - age < heardAt)
        return;
    heardAt = now - age;
    m_addresses[rank] = address;
}

void group_members::onReport(rank_id rank, const std::string& address, const availability_zone_id& zone, time_point now)
{
    m_reportedAt[rank] = now;
    if (!address.empty())
        m_addresses[rank] = address;
    m_zones[rank] = zone;
}

void group_members::removeSilentCandidates(time_point now)
{
    std::erase_if(m_candidates, [&](const auto& candidate) { return now - candidate.second > candidateTimeout; });
}

std::vector<rank_id> group_members::coordinatorCandidates(rank_id local) const
{
    std::vector<rank_id> ranks { local };
    for (const auto& [rank, heardAt] : m_candidates) {
        if (rank != local)
            ranks.push_back(rank);
    }
    std::sort(ranks.begin(), ranks.end());
    ranks.resize(std::min(ranks.size(), coordinatorCount));
    return ranks;
}

bool group_members::isCandidate(rank_id local) const
{
    const std::vector<rank_id> candidates = coordinatorCandidates(local);
    return !m_candidates.empty() && std::find(candidates.begin(), candidates.end(), local) != candidates.end();
}

void group_members::startSilenceTimeout(rank_id local, time_point now)
{
    for (const rank_id rank : coordinatorCandidates(local))
        m_reportedAt[rank] = now;
}

bool group_members::canCoordinate(rank_id local, time_point now) const
{
    if (!isCandidate(local))
        return false;
    const std::vector<rank_id> candidates = coordinatorCandidates(local);
    return std::all_of(candidates.begin(), candidates.end(), [&](rank_id rank) {
        if (rank >= local)
            return true;
        const auto reported = m_reportedAt.find(rank);
        return reported != m_reportedAt.end() && now - reported->second > coordinatorTimeout;
    });
}

bool group_members::isReporting(rank_id rank, time_point now) const
{
    const auto reported = m_reportedAt.find(rank);
    return reported != m_reportedAt.end() && now - reported->second <= reportTimeout;
}

std::string group_members::addressOf(rank_id rank) const
{
    const auto known = m_addresses.find(rank);
    return known == m_addresses.end() ? std::string() : known->second;
}

std::vector<rank_id> group_members::ranksByZone(const local_rank& local) const
{
    std::vector<std::pair<availability_zone_id, rank_id>> ranks { { local.zone, local.rank } };
    for (const auto& [rank, zone] : m_zones) {
        if (rank != local.rank)
            ranks.emplace_back(zone, rank);
    }
    std::sort(ranks.begin(), ranks.end());
    std::vector<rank_id> order;
    order.reserve(ranks.size());
    for (const auto& [zone, rank] : ranks)
        order.push_back(rank);
    return order;
}

}
