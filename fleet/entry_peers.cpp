#include "fleet/entry_peers.h"

#include "fleet/entry_context.h"
#include "fleet/event_log.h"
#include "fleet/fleet_message.h"
#include "fleet/peer_ports.h"
#include "fleet/steady_time.h"
#include "relay/datagram_port.h"
#include "relay/endpoint.h"
#include "serving/route_index.h"
#include "serving/serving_configuration.h"

#include <algorithm>

namespace sardinelb {

using boost::asio::ip::udp;

namespace {

constexpr std::chrono::milliseconds beatInterval { 500 };

// Entries that read the list of runners. One more than needed, for the case that one is cut off.
constexpr std::size_t readers = 2;

// Entries and agents that have not been heard of for this long are taken as gone.
constexpr duration entryLifetime = std::chrono::milliseconds(2500);
constexpr duration agentLifetime = std::chrono::milliseconds(1000);

std::string ipOf(const std::string& address)
{
    return address.substr(0, address.rfind(':'));
}

}

entry_peers::entry_peers(boost::asio::io_context& context, const platform::settings& settings, entry_context& entry, event_log& log, hooks receivers)
    : m_context(context)
    , m_settings(settings)
    , m_entry(entry)
    , m_log(log)
    , m_hooks(std::move(receivers))
    , m_timer(context)
{
}

entry_peers::~entry_peers() = default;

bool entry_peers::start(std::string& problem)
{
    m_port = std::make_shared<datagram_port>(m_context.get_executor(), [this](std::string_view bytes, const udp::endpoint& from) { received(bytes, from); });
    if (!m_port->open(m_settings.ip, m_settings.firstPeerPort + entryDatagramPort, problem))
        return false;
    tick();
    return true;
}

void entry_peers::tick()
{
    forgetSilent();
    tellAll();
    logGroups();
    m_timer.expires_after(beatInterval);
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

void entry_peers::forgetSilent()
{
    const time_point now = steadyNow();
    for (const auto& [ip, at] : m_entries) {
        if (now - at > entryLifetime)
            m_log.write("entry_lost", { { "ip", ip }, { "silent_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - at).count() } });
    }
    std::erase_if(m_entries, [&](const auto& entry) { return now - entry.second > entryLifetime; });
    std::erase_if(m_agents, [&](const auto& entry) { return now - entry.second.at > agentLifetime; });
    m_entry.setEntriesAlive(m_entries.size() + 1);
}

bool entry_peers::isReader() const
{
    const auto before = std::count_if(m_entries.begin(), m_entries.end(), [&](const auto& entry) { return entry.first < m_settings.ip; });
    return static_cast<std::size_t>(before) < readers;
}

void entry_peers::leave()
{
    m_isLeaving = true;
    tellAll();
}

void entry_peers::tellAll()
{
    const knowledge own = m_hooks.own();
    entry_beat_message beat;
    beat.daemon = m_settings.daemon;
    beat.configuration = own.configuration;
    beat.runnerList = own.runnerList;
    beat.runnerDigest = own.runnerDigest;
    beat.listAge = own.listAge;
    beat.isStopping = m_isLeaving;
    tellEntries(beat);
    tellAgents(beat);
}

void entry_peers::tellEntries(const entry_beat_message& beat)
{
    const std::string bytes = encode(beat);
    for (const auto& [ip, at] : m_entries) {
        if (const auto to = udpEndpoint(ip + ":0", m_settings.firstPeerPort + entryDatagramPort))
            m_port->send(bytes, *to);
    }
}

void entry_peers::tellAgents(const entry_beat_message& beat)
{
    if (!m_entry.routes())
        return;
    const auto& pools = m_entry.routes()->configuration().pools;
    for (const auto& [id, record] : m_entry.runners().runners()) {
        const auto pool = pools.find(record.listing.pool);
        if (pool == pools.end() || !pool->second.engine)
            continue;
        entry_beat_message message = beat;
        fillGroup(message, id, record.listing.pool);
        if (const auto to = udpEndpoint(record.listing.address, m_settings.firstPeerPort + agentDatagramPort))
            m_port->send(encode(message), *to);
    }
}

void entry_peers::fillGroup(entry_beat_message& message, const runner_id& runner, const pool_id& pool) const
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
    message.placesPerRank = engine.expertsPerRank;
    message.newPerRank = engine.newExpertsPerRank;
    message.expertCopyTime = engine.expertCopyTime;
    message.slots = engine.slots;
}

void entry_peers::received(std::string_view bytes, const udp::endpoint& from)
{
    const auto message = decode(bytes);
    const std::string ip = from.address().to_string();
    if (!message) {
        m_log.write("datagram_unreadable", { { "from", ip } });
        return;
    }
    if (const auto* beat = std::get_if<entry_beat_message>(&*message))
        beatArrived(*beat, ip);
    else if (const auto* load = std::get_if<load_message>(&*message))
        loadArrived(*load, ip);
}

void entry_peers::noteEntry(const std::string& ip)
{
    if (ip == m_settings.ip)
        return;
    const bool isNew = m_entries.insert_or_assign(ip, steadyNow()).second;
    if (isNew)
        m_log.write("entry_found", { { "ip", ip } });
}

void entry_peers::beatArrived(const entry_beat_message& beat, const std::string& ip)
{
    if (beat.isStopping) {
        m_entries.erase(ip);
        return;
    }
    noteEntry(ip);
    m_hooks.peerKnows(ip, { beat.configuration, beat.runnerList, beat.runnerDigest, beat.listAge });
}

void entry_peers::loadArrived(const load_message& message, const std::string& ip)
{
    const time_point now = steadyNow();
    for (const std::string& entry : message.entries) {
        // Only a beat shows that an entry lives; until it comes, the entry is told of this one.
        if (entry != m_settings.ip && !m_entries.contains(entry))
            noteEntry(entry);
    }
    for (const auto& [id, record] : m_entry.runners().runners()) {
        if (ipOf(record.listing.address) != ip)
            continue;
        rank_load load = message.load;
        load.runner = id;
        m_entry.runners().onLoadReport(load, now);
        m_agents[id] = { load, record.listing.address, now };
        m_entry.fillRoom(record.listing.pool);
        return;
    }
}

}
