#include "fleet/entry_peers.h"

#include "fleet/entry_context.h"
#include "fleet/event_log.h"
#include "fleet/fleet_message.h"
#include "fleet/peer_ports.h"
#include "fleet/steady_time.h"
#include "relay/endpoint.h"
#include "relay/udp_socket.h"
#include "serving/route_index.h"
#include "serving/serving_configuration.h"

#include <algorithm>

namespace sardinelb {

using boost::asio::ip::udp;

namespace {

constexpr std::chrono::milliseconds heartbeatInterval { 500 };

// Entries that poll the list of runners from the store. One would suffice; the second covers a partition of the first.
constexpr std::size_t storePollerCount = 2;

// Entries and agents that are silent for this long are removed.
constexpr duration entryTimeout = std::chrono::milliseconds(2500);
constexpr duration agentTimeout = std::chrono::milliseconds(1000);

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
    tick();
    return true;
}

void entry_peers::tick()
{
    removeSilent();
    sendHeartbeats();
    logGroups();
    m_timer.expires_after(heartbeatInterval);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            tick();
    });
}

void entry_peers::logGroups()
{
    for (const auto& view : m_entry.runners().groups())
        m_log.write("group_pace", { { "group", view.group.value() }, { "limit", static_cast<std::int64_t>(view.limitPerRank) }, { "gap_ms", view.passMs } });
}

void entry_peers::removeSilent()
{
    const time_point now = steadyNow();
    for (const auto& [ip, at] : m_entries) {
        if (now - at > entryTimeout)
            m_log.write("entry_lost", { { "ip", ip }, { "silent_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - at).count() } });
    }
    std::erase_if(m_entries, [&](const auto& entry) { return now - entry.second > entryTimeout; });
    std::erase_if(m_agents, [&](const auto& entry) { return now - entry.second.lastHeardAt > agentTimeout; });
    m_entry.setEntriesAlive(m_entries.size() + 1);
}

bool entry_peers::isStorePoller() const
{
    const auto lowerAddresses = std::count_if(m_entries.begin(), m_entries.end(), [&](const auto& entry) { return entry.first < m_settings.ip; });
    return static_cast<std::size_t>(lowerAddresses) < storePollerCount;
}

void entry_peers::announceStop()
{
    m_isStopping = true;
    sendHeartbeats();
}

void entry_peers::sendHeartbeats()
{
    const known_versions local = m_hooks.localVersions();
    entry_heartbeat_message heartbeat;
    heartbeat.daemon = m_settings.daemon;
    heartbeat.configuration = local.configuration;
    heartbeat.runnerList = local.runnerList;
    heartbeat.runnerDigest = local.runnerDigest;
    heartbeat.runnerListAge = local.runnerListAge;
    heartbeat.isStopping = m_isStopping;
    sendToEntries(heartbeat);
    sendToAgents(heartbeat);
}

void entry_peers::sendToEntries(const entry_heartbeat_message& heartbeat)
{
    const std::string bytes = encode(heartbeat);
    for (const auto& [ip, at] : m_entries) {
        if (const auto to = udpEndpoint(ip + ":0", m_settings.firstPeerPort + entryDatagramPortOffset))
            m_socket->send(bytes, *to);
    }
}

void entry_peers::sendToAgents(const entry_heartbeat_message& heartbeat)
{
    if (!m_entry.routes())
        return;
    const auto& pools = m_entry.routes()->configuration().pools;
    for (const auto& [id, record] : m_entry.runners().runners()) {
        const auto pool = pools.find(record.listing.pool);
        if (pool == pools.end() || !pool->second.engine)
            continue;
        entry_heartbeat_message message = heartbeat;
        setGroup(message, id, record.listing.pool);
        if (const auto to = udpEndpoint(record.listing.address, m_settings.firstPeerPort + agentDatagramPortOffset))
            m_socket->send(encode(message), *to);
    }
}

void entry_peers::setGroup(entry_heartbeat_message& message, const runner_id& runner, const pool_id& pool) const
{
    const auto agent = m_agents.find(runner);
    if (agent == m_agents.end())
        return;
    message.group = agent->second.load.group;
    for (const auto& [id, other] : m_agents) {
        if (other.load.group == message.group)
            message.members.push_back({ other.load.rank, other.address });
    }
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
    if (heartbeat.isStopping) {
        m_entries.erase(ip);
        return;
    }
    addEntry(ip);
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
        m_entry.dispatchWaiting(record.listing.pool);
        return;
    }
}

}
