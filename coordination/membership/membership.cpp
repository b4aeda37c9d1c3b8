#include "coordination/membership/membership.h"

#include <algorithm>

namespace sardinelb {

membership::membership(membership_settings settings, std::uint64_t seed)
    : m_settings(settings)
    , m_random(seed)
{
}

duration membership::jitterUpTo(duration maximum)
{
    return duration(std::uniform_int_distribution<duration::rep>(0, maximum.count())(m_random));
}

void membership::onInstanceListRead(const std::vector<listed_instance>& list, time_point now)
{
    for (auto& [id, known] : m_members)
        known.isListed = false;
    for (const listed_instance& listed : list) {
        member& known = m_members[listed.daemon];
        const bool hasNewAddress = known.instance.address != listed.address;
        known.instance = listed;
        known.isListed = true;
        known.lastListed = now;
        // A refused connection says nothing about another address.
        if (hasNewAddress)
            known.isRefused = false;
        known.state = evaluateState(known, now);
    }
}

void membership::watch(const daemon_id& daemon, time_point now)
{
    const auto found = m_members.find(daemon);
    if (found == m_members.end() || found->second.isWatched)
        return;
    found->second.isWatched = true;
    found->second.lastHeard = std::max(found->second.lastHeard, now);
    found->second.state = evaluateState(found->second, now);
}

void membership::unwatch(const daemon_id& daemon)
{
    const auto found = m_members.find(daemon);
    if (found != m_members.end())
        found->second.isWatched = false;
}

void membership::onFrameReceived(const listed_instance& sender, incarnation lifetime, bool isDraining, time_point now)
{
    member& known = m_members[sender.daemon];
    if (known.hasBeenHeard && lifetime < known.lifetime)
        return;
    if (!known.isListed)
        known.instance = sender;
    known.lifetime = lifetime;
    known.hasBeenHeard = true;
    known.isDraining = isDraining;
    known.isRefused = false;
    known.lastHeard = now;
    known.probeBackoff = {};
    known.state = evaluateState(known, now);
}

void membership::onConnectionRefused(const daemon_id& daemon, time_point now)
{
    const auto found = m_members.find(daemon);
    if (found == m_members.end())
        return;
    found->second.isRefused = true;
    found->second.state = evaluateState(found->second, now);
}

bool membership::isSilent(const member& known, time_point now) const
{
    return known.isWatched && now - known.lastHeard >= m_settings.silentAfter;
}

member_state membership::evaluateState(const member& known, time_point now) const
{
    if (known.instance.isLeaving || known.isDraining)
        return member_state::Leaving;
    if (known.isRefused)
        return member_state::Dead;
    if (isSilent(known, now)) {
        const bool isZonePartitioned = m_partitioned.contains(known.instance.zone);
        return isZonePartitioned ? member_state::Partitioned : member_state::Silent;
    }
    if (!known.isWatched)
        return member_state::Listed;
    if (now - known.lastHeard >= m_settings.slowAfter)
        return member_state::Slow;
    return member_state::Live;
}

void membership::updatePartitions(time_point now)
{
    std::map<availability_zone_id, zone_count> zones;
    for (const auto& [id, known] : m_members) {
        // A refused connection proves that the network path works.
        if (!known.isWatched || known.isRefused)
            continue;
        zone_count& zone = zones[known.instance.zone];
        ++zone.watched;
        zone.silent += isSilent(known, now) ? 1 : 0;
    }
    m_partitioned.clear();
    for (const auto& [id, zone] : zones) {
        if (zone.watched >= m_settings.minWatchedForPartition && zone.silent * 2 > zone.watched)
            m_partitioned.insert(id);
    }
}

void membership::removeExpired(time_point now)
{
    std::erase_if(m_members, [&](const auto& entry) {
        const member& known = entry.second;
        const time_point lastEvidence = std::max(known.lastListed, known.lastHeard);
        return !known.isListed && now - lastEvidence >= m_settings.removeAfter;
    });
}

bool membership::needsProbe(const member& known, time_point now) const
{
    // A silent draining daemon may have been restarted; one that the platform terminates has not.
    return !known.instance.isLeaving && (known.isRefused || isSilent(known, now));
}

bool membership::hasProbeBudget(time_point now)
{
    if (now >= m_probeWindowStart + std::chrono::seconds(1)) {
        m_probeWindowStart = now;
        m_probesInWindow = 0;
    }
    return m_probesInWindow < m_settings.maxProbesPerSecond;
}

void membership::scheduleProbe(member& known, time_point now)
{
    known.probeBackoff
        = std::clamp(known.probeBackoff * 2, m_settings.minProbeBackoff, m_settings.maxProbeBackoff);
    known.nextProbe = now + known.probeBackoff / 2 + jitterUpTo(known.probeBackoff / 2);
}

std::vector<member_view> membership::tick(time_point now)
{
    removeExpired(now);
    updatePartitions(now);
    for (auto& [id, known] : m_members)
        known.state = evaluateState(known, now);
    std::vector<member_view> probes;
    auto next = m_members.upper_bound(m_probeCursor);
    for (std::size_t step = 0; step < m_members.size() && hasProbeBudget(now); ++step, ++next) {
        if (next == m_members.end())
            next = m_members.begin();
        member& known = next->second;
        if (!needsProbe(known, now) || now < known.nextProbe)
            continue;
        ++m_probesInWindow;
        scheduleProbe(known, now);
        m_probeCursor = next->first;
        probes.push_back(viewOf(known));
    }
    return probes;
}

member_view membership::viewOf(const member& known)
{
    return { known.instance.daemon, known.instance.zone, known.instance.address, known.lifetime, known.state };
}

std::vector<member_view> membership::members() const
{
    std::vector<member_view> views;
    views.reserve(m_members.size());
    for (const auto& [id, known] : m_members)
        views.push_back(viewOf(known));
    return views;
}

std::optional<member_state> membership::stateOf(const daemon_id& daemon) const
{
    const auto found = m_members.find(daemon);
    if (found == m_members.end())
        return std::nullopt;
    return found->second.state;
}

bool membership::isPartitioned(const availability_zone_id& zone) const { return m_partitioned.contains(zone); }

}
