#include "coordination/limits/entry_limits.h"

#include "coordination/limits/limit_ownership.h"
#include "coordination/limits/limit_shard.h"

#include <chrono>
#include <utility>

namespace sardinelb {

namespace {

// An entry that restarts is back before this time, so that a restart moves no ownership.
constexpr duration lostEntryGrace = std::chrono::seconds(5);
constexpr duration housekeepingInterval = std::chrono::seconds(1);

}

entry_limits::entry_limits(daemon_id self, limits_lookup limitsOf)
    : m_self(std::move(self))
    , m_limitsOf(std::move(limitsOf))
    , m_account(m_self)
    , m_owner(m_self)
{
}

void entry_limits::setEntries(const std::vector<daemon_id>& names, time_point now)
{
    std::map<daemon_id, peer> entries;
    for (const daemon_id& name : names) {
        const auto known = m_entries.find(name);
        peer fresh;
        fresh.lostAt = now;
        entries.emplace(name, known == m_entries.end() ? fresh : known->second);
    }
    m_entries = std::move(entries);
    updateLiveEntries(now);
}

void entry_limits::onEntryConnected(const daemon_id& entry, incarnation number, time_point now)
{
    const auto found = m_entries.find(entry);
    if (found == m_entries.end())
        return;
    found->second.connected = true;
    found->second.number = number;
    updateLiveEntries(now);
}

void entry_limits::onEntryLost(const daemon_id& entry, time_point now)
{
    const auto found = m_entries.find(entry);
    if (found == m_entries.end())
        return;
    found->second.connected = false;
    found->second.lostAt = now;
}

void entry_limits::updateLiveEntries(time_point now)
{
    std::vector<daemon_id> live;
    for (const auto& [name, entry] : m_entries) {
        const bool recent = now - entry.lostAt < lostEntryGrace;
        if (name == m_self || entry.connected || recent)
            live.push_back(name);
    }
    if (live == m_live)
        return;
    m_live = std::move(live);
    m_account.setDaemons(m_live, now);
    for (const limit_handover_message& handover : m_owner.setDaemons(m_live, now)) {
        const daemon_id owner = ownerOf(limit_shard { handover.team, handover.shard }, m_live);
        m_answers.push_back({ owner, handover });
    }
}

coordination_result<void> entry_limits::reserve(const request_id& request, const team_id& team,
    const derived_limits& limits, const request_cost& cost, time_point now)
{
    return m_account.reserve(request, team, limits, cost, now);
}

std::optional<time_point> entry_limits::waitDeadline(const request_id& request) const
{
    return m_account.waitDeadline(request);
}

void entry_limits::settle(const request_id& request, const token_usage& usage, time_point now)
{
    m_account.settle(request, usage, now);
}

void entry_limits::release(const request_id& request, time_point now)
{
    m_account.release(request, now);
}

std::optional<duration> entry_limits::retryAfter(const team_id& team, time_point now) const
{
    return m_account.retryAfter(team, now);
}

std::optional<lease_grant_message> entry_limits::answer(
    const lease_request_message& request, incarnation ofEntry, time_point now)
{
    const auto limits = m_limitsOf(request.team);
    if (!limits)
        return std::nullopt;
    return m_owner.answer(request, ofEntry, *limits, now);
}

void entry_limits::onMessage(const daemon_id& entry, const lease_requests_message& message, time_point now)
{
    const auto sender = m_entries.find(entry);
    if (sender == m_entries.end())
        return;
    lease_grants_message grants;
    for (const lease_request_message& request : message.requests) {
        if (auto grant = answer(request, sender->second.number, now))
            grants.grants.push_back(std::move(*grant));
    }
    if (!grants.grants.empty())
        m_answers.push_back({ entry, std::move(grants) });
}

bool entry_limits::onMessage(const lease_grants_message& message, time_point now)
{
    for (const lease_grant_message& grant : message.grants)
        m_account.granted(grant, now);
    return !message.grants.empty();
}

void entry_limits::onMessage(const limit_handover_message& message, time_point now)
{
    if (const auto limits = m_limitsOf(message.team))
        m_owner.acceptHandover(message, *limits, now);
}

std::vector<send_to_peer_action> entry_limits::takeMessages(time_point now, bool& granted)
{
    if (now >= m_nextHousekeeping) {
        m_nextHousekeeping = now + housekeepingInterval;
        updateLiveEntries(now);
        m_owner.dropIdle(now);
    }
    std::vector<send_to_peer_action> messages = std::exchange(m_answers, {});
    std::map<daemon_id, lease_requests_message> byOwner;
    for (lease_request_message& request : m_account.takeLeaseRequests(now)) {
        const daemon_id owner = ownerOf(limit_shard { request.team, request.shard }, m_live);
        if (owner != m_self) {
            byOwner[owner].requests.push_back(std::move(request));
            continue;
        }
        if (const auto grant = answer(request, incarnation(), now)) {
            m_account.granted(*grant, now);
            granted = true;
        }
    }
    for (auto& [owner, requests] : byOwner)
        messages.push_back({ owner, std::move(requests) });
    return messages;
}

}
