#include "fleet/entry_peers.h"

#include "fleet/entry_context.h"
#include "fleet/event_log.h"
#include "fleet/peer_ports.h"
#include "fleet/steady_time.h"
#include "relay/endpoint.h"
#include "relay/udp_socket.h"
#include "serving/route_index.h"
#include "serving/runner_followers.h"
#include "serving/serving_configuration.h"

#include <algorithm>
#include <iterator>

namespace sardinelb {

using boost::asio::ip::udp;

namespace {

constexpr std::chrono::milliseconds heartbeatInterval { 500 };

// Entries that poll the list of runners from the store. One would suffice; the second covers a partition of the first.
constexpr std::size_t storePollerCount = 2;

// Entries and agents that are silent for this long are removed.
constexpr duration entryTimeout = std::chrono::milliseconds(2500);
constexpr duration agentTimeout = std::chrono::milliseconds(1000);

// Heartbeats carry news of the candidates for coordinator from entry to entry.
constexpr duration candidateTimeout = std::chrono::milliseconds(1600);

// The coordinator of a group, its standby, and one that follows when both fail.
constexpr std::size_t candidatesPerGroup = 3;

std::string ipOf(const std::string& address)
{
    return address.substr(0, address.rfind(':'));
}

}

entry_peers::entry_peers(boost::asio::io_context& context, const platform::settings& settings, entry_context& entry, event_log& log, hooks callbacks)
    : m_context(context)
    , m_settings(settings)
    , m_entry(entry)
    , m_log(log)
    , m_hooks(std::move(callbacks))
    , m_timer(context)
{
}

entry_peers::~entry_peers() = default;

bool entry_peers::start(std::string& problem)
{
    m_socket = std::make_shared<udp_socket>(m_context.get_executor(), [this](std::string_view bytes, const udp::endpoint& from) { onDatagram(bytes, from); });
    if (!m_socket->open(m_settings.ip, m_settings.firstPeerPort + entryDatagramPortOffset, problem))
        return false;
    m_entry.promptGuard().setEvidenceHandler([this] { sendVersions(); });
    m_entry.setLeavingHandler([this] { sendVersions(); });
    m_entry.setEvacuationHandler([this] { sendVersions(); });
    tick();
    return true;
}

void entry_peers::tick()
{
    removeSilent();
    m_entry.removeExpiredEvacuations();
    updateFollowedRunners();
    m_arrivalsPerSecond = m_entry.demand().update(steadyNow());
    m_entry.runners().setDemandShare(m_entry.demand().share());
    m_entry.runners().setDemandShares(m_entry.demand().shares(m_settings.ip));
    sendVersions();
    sendToAgents();
    logGroups();
    m_entry.logWarmUps();
    m_timer.expires_after(heartbeatInterval);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            tick();
    });
}

void entry_peers::logGroups()
{
    for (const auto& view : m_entry.runners().groups())
        m_log.write("group_pace", { { "group", view.group.value() }, { "limit", view.limitPerRank }, { "gap_ms", view.passMs }, { "slowdown", view.slowdown } });
}

void entry_peers::removeSilent()
{
    const time_point now = steadyNow();
    for (const auto& [ip, at] : m_entries) {
        if (now - at <= entryTimeout)
            continue;
        m_entry.demand().removePeer(ip);
        m_log.write("entry_lost", { { "ip", ip }, { "silent_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - at).count() } });
    }
    std::erase_if(m_entries, [&](const auto& entry) { return now - entry.second > entryTimeout; });
    std::erase_if(m_agents, [&](const auto& entry) { return now - entry.second.lastHeardAt > agentTimeout; });
    for (auto& [group, candidates] : m_candidates)
        std::erase_if(candidates, [&](const auto& entry) { return now - entry.second.heardAt > candidateTimeout; });
    std::erase_if(m_candidates, [](const auto& entry) { return entry.second.empty(); });
    m_entry.setEntries(liveEntries());
}

std::vector<std::string> entry_peers::liveEntries() const
{
    std::vector<std::string> entries { m_settings.ip };
    for (const auto& [ip, at] : m_entries)
        entries.push_back(ip);
    return entries;
}

void entry_peers::updateFollowedRunners()
{
    m_entry.runners().setFollowed(followedRunners(m_entry.runners().modelRunnerAddresses(), m_settings.ip, liveEntries()));
}

bool entry_peers::isStorePoller() const
{
    const auto lowerAddresses = std::count_if(m_entries.begin(), m_entries.end(), [&](const auto& entry) { return entry.first < m_settings.ip; });
    return static_cast<std::size_t>(lowerAddresses) < storePollerCount;
}

void entry_peers::onRunnersChanged()
{
    updateFollowedRunners();
    sendVersions();
    sendToAgents();
}

void entry_peers::announceStop()
{
    m_isStopping = true;
    sendVersions();
    sendToAgents();
}

entry_heartbeat_message entry_peers::createHeartbeat() const
{
    const known_versions local = m_hooks.localVersions();
    entry_heartbeat_message heartbeat;
    heartbeat.daemon = m_settings.daemon;
    heartbeat.configuration = local.configuration;
    heartbeat.runnerList = local.runnerList;
    heartbeat.runnerDigest = local.runnerDigest;
    heartbeat.runnerListAge = local.runnerListAge;
    heartbeat.isStopping = m_isStopping;
    return heartbeat;
}

void entry_peers::sendVersions()
{
    entry_heartbeat_message heartbeat = createHeartbeat();
    heartbeat.arrivalsPerSecond = static_cast<float>(m_arrivalsPerSecond);
    heartbeat.groups = directCandidates();
    heartbeat.runnerLimits = m_entry.runners().limitUpdates(steadyNow());
    heartbeat.promptParts = m_entry.promptGuard().evidence();
    heartbeat.leavingRunners = m_entry.runners().leavingRunners();
    heartbeat.coldRunners = m_entry.runners().coldRunners(steadyNow());
    heartbeat.evacuations = m_entry.evacuations().view(steadyNow());
    const std::string bytes = encode(heartbeat);
    for (const auto& [ip, at] : m_entries) {
        if (const auto to = udpEndpoint(ip + ":0", m_settings.firstPeerPort + entryDatagramPortOffset))
            m_socket->send(bytes, *to);
    }
}

void entry_peers::sendToAgents()
{
    if (!m_entry.routes())
        return;
    const entry_heartbeat_message heartbeat = createHeartbeat();
    const auto& pools = m_entry.routes()->configuration().pools;
    for (const auto& [id, record] : m_entry.runners().runners()) {
        const auto pool = pools.find(record.listing.pool);
        if (pool == pools.end() || !pool->second.engine || !record.isFollowed)
            continue;
        entry_heartbeat_message message = heartbeat;
        setGroup(message, id, record.listing.pool);
        if (const auto to = udpEndpoint(record.listing.address, m_settings.firstPeerPort + agentDatagramPortOffset))
            m_socket->send(encode(message), *to);
    }
}

std::vector<entry_heartbeat_message::member> entry_peers::candidatesOf(const group_id& group) const
{
    std::vector<entry_heartbeat_message::member> members;
    const auto known = m_candidates.find(group);
    if (known == m_candidates.end())
        return members;
    const time_point now = steadyNow();
    for (const auto& [rank, candidate] : known->second)
        members.push_back({ rank, candidate.address, now - candidate.heardAt });
    return members;
}

std::vector<entry_heartbeat_message::group_candidates> entry_peers::directCandidates() const
{
    const time_point now = steadyNow();
    std::vector<entry_heartbeat_message::group_candidates> groups;
    for (const auto& [group, candidates] : m_candidates) {
        entry_heartbeat_message::group_candidates direct { group, {} };
        for (const auto& [rank, candidate] : candidates) {
            if (now - candidate.heardDirectlyAt <= agentTimeout)
                direct.members.push_back({ rank, candidate.address, now - candidate.heardDirectlyAt });
        }
        if (!direct.members.empty())
            groups.push_back(std::move(direct));
    }
    return groups;
}

void entry_peers::addCandidate(const group_id& group, rank_id rank, const std::string& address, time_point heardAt, bool isDirect)
{
    if (group.value().empty() || steadyNow() - heardAt > candidateTimeout)
        return;
    auto& candidates = m_candidates[group];
    coordinator_candidate& known = candidates[rank];
    if (heardAt >= known.heardAt) {
        known.address = address;
        known.heardAt = heardAt;
    }
    if (isDirect)
        known.heardDirectlyAt = heardAt;
    if (candidates.size() > candidatesPerGroup)
        candidates.erase(std::prev(candidates.end()));
}

void entry_peers::setGroup(entry_heartbeat_message& message, const runner_id& runner, const pool_id& pool) const
{
    const auto agent = m_agents.find(runner);
    if (agent == m_agents.end())
        return;
    message.group = agent->second.load.group;
    message.members = candidatesOf(message.group);
    const engine_profile& engine = *m_entry.routes()->configuration().pools.at(pool).engine;
    message.expertsPerRank = engine.expertsPerRank;
    message.newExpertsPerRank = engine.newExpertsPerRank;
    message.expertCopyTime = engine.expertCopyTime;
    message.slots = engine.slots;
}

void entry_peers::onDatagram(std::string_view bytes, const udp::endpoint& from)
{
    const auto message = decode(bytes);
    const std::string ip = from.address().to_string();
    if (!message) {
        m_log.write("datagram_unreadable", { { "from", ip } });
        return;
    }
    if (const auto* heartbeat = std::get_if<entry_heartbeat_message>(&*message))
        onHeartbeat(*heartbeat, ip);
    else if (const auto* load = std::get_if<load_message>(&*message))
        onLoadReport(*load, ip);
}

void entry_peers::addEntry(const std::string& ip)
{
    if (ip == m_settings.ip)
        return;
    const bool isNew = m_entries.insert_or_assign(ip, steadyNow()).second;
    if (isNew)
        m_log.write("entry_found", { { "ip", ip } });
}

void entry_peers::onHeartbeat(const entry_heartbeat_message& heartbeat, const std::string& ip)
{
    // An entry that stops still serves, and may be the only one that knows.
    m_entry.promptGuard().onEvidence(heartbeat.promptParts);
    m_entry.onLimitUpdates(heartbeat.runnerLimits);
    m_entry.onLeavingRunners(heartbeat.leavingRunners);
    m_entry.onColdRunners(heartbeat.coldRunners);
    m_entry.onPeerEvacuations(heartbeat.evacuations, ip);
    if (heartbeat.isStopping) {
        m_entries.erase(ip);
        m_entry.demand().removePeer(ip);
        return;
    }
    addEntry(ip);
    m_entry.demand().onPeer(ip, heartbeat.arrivalsPerSecond);
    const time_point now = steadyNow();
    for (const auto& group : heartbeat.groups) {
        for (const auto& member : group.members)
            addCandidate(group.group, member.rank, member.address, now - member.age, false);
    }
    m_hooks.onPeerVersions(ip, { heartbeat.configuration, heartbeat.runnerList, heartbeat.runnerDigest, heartbeat.runnerListAge });
}

void entry_peers::onLoadReport(const load_message& message, const std::string& ip)
{
    const time_point now = steadyNow();
    for (const std::string& entry : message.entryAddresses) {
        // Adds unknown entries, so that they are sent heartbeats. Known entries are not refreshed, because only their own
        // heartbeats show that they are alive.
        if (entry != m_settings.ip && !m_entries.contains(entry))
            addEntry(entry);
    }
    for (const auto& [id, record] : m_entry.runners().runners()) {
        if (ipOf(record.listing.address) != ip)
            continue;
        rank_load load = message.load;
        load.runner = id;
        m_entry.runners().onLoadReport(load, now);
        m_agents[id] = { load, record.listing.address, now };
        addCandidate(load.group, load.rank, record.listing.address, now, true);
        m_entry.dispatchWaiting(record.listing.pool);
        return;
    }
}

}
