#include "bench/spread_fleet/spread_fleet.h"

#include "coordination/spread/majority.h"
#include "state/entity_json.h"
#include "state/snapshot_json.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace sardinelb {

namespace {

constexpr duration tickInterval = std::chrono::milliseconds(100);
constexpr duration frameInterval = std::chrono::seconds(1);
constexpr duration answerWindow = std::chrono::seconds(1);
// The command line pushes in this many rounds with this pause (cli/acceptance.cpp).
constexpr int pushRounds = 5;
constexpr duration pushPause = std::chrono::milliseconds(400);
// Frame header (length, table, sender, incarnation, version) and the fields of a request.
constexpr std::size_t headerBytes = 64;
constexpr std::size_t requestBytes = 40;
// The version in a frame that is sent anyway.
constexpr std::size_t versionBytes = 8;
// HTTP request and answer of a table read, without the changes.
constexpr std::size_t tableReadBytes = 300;
constexpr int teamCount = 40;

const availability_zone_id platformZone;

entity teamWithRate(int index, std::int64_t tokensPerSecond)
{
    team value;
    value.id = team_id("team-" + std::to_string(index));
    value.terms = { token_count(tokensPerSecond), 10, service_class::Standard, std::chrono::seconds(30) };
    return value;
}

std::size_t bytesOf(const changes_message& message)
{
    std::size_t bytes = headerBytes + requestBytes;
    for (const configuration_change& change : message.changes)
        bytes += messageBytes(change);
    return message.snapshot ? bytes + message.snapshot->text.size() : bytes;
}

}

spread_fleet::spread_fleet(fleet_settings settings, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_random(seed)
    , m_log(m_table.hooks())
{
    for (const fleet_zone& zone : m_settings.zones)
        addZone(zone);
    linkEntries();
    prepareTable();
}

void spread_fleet::addZone(const fleet_zone& zone)
{
    for (std::size_t index = 0; index < zone.entries + zone.agents; ++index) {
        virtual_daemon added;
        added.isEntry = index < zone.entries;
        added.id = daemon_id((added.isEntry ? "e" : "a") + std::to_string(m_daemons.size()));
        added.zone = zone.zone;
        m_indices.emplace(added.id, m_daemons.size());
        if (added.isEntry)
            m_zoneEntries[zone.zone].push_back(added.id);
        m_daemons.push_back(std::move(added));
    }
}

void spread_fleet::linkEntries()
{
    std::vector<std::size_t> agents;
    for (std::size_t index = 0; index < m_daemons.size(); ++index) {
        if (!m_daemons[index].isEntry)
            agents.push_back(index);
    }
    for (std::size_t index = 0; index < m_daemons.size(); ++index) {
        if (!m_daemons[index].isEntry)
            continue;
        std::shuffle(agents.begin(), agents.end(), m_random);
        const std::size_t count = std::min(m_settings.linksPerEntry, agents.size());
        for (std::size_t link = 0; link < count; ++link) {
            m_daemons[index].links.push_back(agents[link]);
            m_daemons[agents[link]].links.push_back(index);
        }
    }
}

void spread_fleet::prepareTable()
{
    configuration_change initial { {}, "operator", "initial", {} };
    for (int index = 0; index < teamCount; ++index) {
        const entity value = teamWithRate(index, 1000);
        initial.updates.push_back({ entity_kind::Team, idOf(value), entityToJson(value).dump(), {} });
    }
    static_cast<void>(m_log.append(initial));
    m_history[m_log.current().version] = snapshotToText(m_log.current());
    // The initial configuration was accepted long ago.
    for (const fleet_zone& zone : m_settings.zones)
        m_accepted[zone.zone] = m_log.current().version;
}

configuration_change spread_fleet::commitChange()
{
    ++m_changes;
    static_cast<void>(m_log.load());
    const int index = std::uniform_int_distribution<int>(0, teamCount - 1)(m_random);
    const entity value = teamWithRate(index, static_cast<std::int64_t>(2000 + m_changes));
    const config_version base = m_log.current().teams.at(team_id(idOf(value))).changedAt;
    const std::string token = "change-" + std::to_string(m_changes);
    const auto committed = m_log.append(
        { {}, "operator", token, { { entity_kind::Team, idOf(value), entityToJson(value).dump(), base } } });
    m_history[m_log.current().version] = snapshotToText(m_log.current());
    return committed.value();
}

void spread_fleet::startAll()
{
    for (std::size_t index = 0; index < m_daemons.size(); ++index)
        restart(index);
}

void spread_fleet::kill(std::size_t daemon)
{
    ++m_daemons[daemon].lifetime;
    m_daemons[daemon].spread.reset();
}

void spread_fleet::restart(std::size_t daemon)
{
    kill(daemon);
    virtual_daemon& started = m_daemons[daemon];
    started.floor = m_accepted[started.zone];
    config_spread_settings settings = m_settings.spread;
    settings.self = started.id;
    settings.zone = started.zone;
    started.spread = std::make_unique<config_spread>(settings, m_random());
    std::vector<spread_peer> peers;
    peers.reserve(m_daemons.size());
    for (const virtual_daemon& other : m_daemons) {
        if (other.id != started.id)
            peers.push_back({ other.id, other.zone });
    }
    started.spread->setPeers(std::move(peers));
    started.spread->setZoneEntries(m_zoneEntries[started.zone]);
    perform(daemon, started.spread->start(now()));
    const auto offset = [this](duration interval) {
        return duration(std::uniform_int_distribution<duration::rep>(0, interval.count())(m_random));
    };
    const std::uint64_t lifetime = started.lifetime;
    m_events.after(offset(tickInterval), [this, daemon, lifetime] { tickDaemon(daemon, lifetime); });
    if (m_settings.framesCarryVersions)
        m_events.after(offset(frameInterval), [this, daemon, lifetime] { sendFrames(daemon, lifetime); });
}

void spread_fleet::tickDaemon(std::size_t index, std::uint64_t lifetime)
{
    if (m_daemons[index].lifetime != lifetime)
        return;
    perform(index, m_daemons[index].spread->tick(now()));
    m_events.after(tickInterval, [this, index, lifetime] { tickDaemon(index, lifetime); });
}

void spread_fleet::sendFrames(std::size_t index, std::uint64_t lifetime)
{
    virtual_daemon& sender = m_daemons[index];
    if (sender.lifetime != lifetime)
        return;
    for (const std::size_t link : sender.links) {
        virtual_daemon& receiver = m_daemons[link];
        sender.bytes += versionBytes;
        receiver.bytes += versionBytes;
        // A frame that shows no higher version changes nothing, so it need not be delivered.
        if (receiver.spread && receiver.spread->version() < sender.spread->version())
            sendFrame(index, link, 0, [](config_spread&) { return spread_actions(); });
    }
    m_events.after(frameInterval, [this, index, lifetime] { sendFrames(index, lifetime); });
}

bool spread_fleet::isLost(const availability_zone_id& from, const availability_zone_id& to)
{
    if (m_isCut && from != to && m_isCut(from, to))
        return true;
    return std::bernoulli_distribution(m_settings.loss)(m_random);
}

duration spread_fleet::latency()
{
    const auto least = m_settings.leastLatency.count();
    return duration(std::uniform_int_distribution<duration::rep>(least, m_settings.mostLatency.count())(m_random));
}

void spread_fleet::sendFrame(
    std::size_t from, std::size_t to, std::size_t bytes, std::function<spread_actions(config_spread&)> receive)
{
    m_daemons[from].bytes += bytes;
    const bool isCutOff = m_daemons[from].isIsolated || m_daemons[to].isIsolated;
    if (isCutOff || !m_daemons[to].spread || isLost(m_daemons[from].zone, m_daemons[to].zone))
        return;
    const config_version version = m_daemons[from].spread->version();
    const std::uint64_t lifetime = m_daemons[to].lifetime;
    m_events.after(latency(), [this, from, to, bytes, version, lifetime, receive = std::move(receive)] {
        virtual_daemon& receiver = m_daemons[to];
        if (receiver.lifetime != lifetime)
            return;
        receiver.bytes += bytes;
        receiver.spread->onFrameReceived(m_daemons[from].id, version, now());
        perform(to, receive(*receiver.spread));
    });
}

std::optional<std::size_t> spread_fleet::indexOf(const daemon_id& daemon) const
{
    const auto found = m_indices.find(daemon);
    return found == m_indices.end() ? std::nullopt : std::optional(found->second);
}

void spread_fleet::perform(std::size_t from, const spread_actions& actions)
{
    for (const spread_action& action : actions)
        std::visit([this, from](const auto& each) { performOne(from, each); }, action);
    checkVersion(m_daemons[from]);
}

void spread_fleet::checkVersion(virtual_daemon& daemon)
{
    if (!daemon.spread->isReady())
        return;
    if (daemon.spread->version() < daemon.floor)
        ++m_versionFalls;
    daemon.floor = std::max(daemon.floor, daemon.spread->version());
}

void spread_fleet::performOne(std::size_t from, const send_changes_request& action)
{
    const auto to = indexOf(action.to);
    if (!to)
        return;
    const daemon_id sender = m_daemons[from].id;
    sendFrame(from, *to, headerBytes + requestBytes, [this, sender, message = action.message](config_spread& receiver) {
        return receiver.onChangesRequested(sender, message, now());
    });
}

void spread_fleet::countAnswer(std::size_t from)
{
    auto& [begin, answers] = m_answerWindows[from];
    if (now() >= begin + answerWindow) {
        begin = now();
        answers = 0;
    }
    m_peakAnswers = std::max(m_peakAnswers, ++answers);
}

void spread_fleet::performOne(std::size_t from, const send_changes& action)
{
    const auto to = indexOf(action.to);
    if (!to)
        return;
    if (!action.message.changes.empty() || action.message.snapshot)
        countAnswer(from);
    const daemon_id sender = m_daemons[from].id;
    sendFrame(from, *to, bytesOf(action.message), [this, sender, message = action.message](config_spread& receiver) {
        return receiver.onChangesReceived(sender, message, now());
    });
}

void spread_fleet::performOne(std::size_t from, const load_table&)
{
    const std::uint64_t lifetime = m_daemons[from].lifetime;
    const bool isCut = m_isCut && m_isCut(m_daemons[from].zone, platformZone);
    m_events.after(m_settings.tableLatency, [this, from, lifetime, isCut] {
        if (m_daemons[from].lifetime != lifetime)
            return;
        change_log reader(m_table.hooks());
        const state_result<configuration> loaded = isCut
            ? state_result<configuration>(state_error { state_errc::Unavailable, "table", "cut off" })
            : reader.load();
        perform(from, m_daemons[from].spread->onTableLoadResult(loaded, now()));
    });
}

void spread_fleet::performOne(std::size_t from, const read_table& action)
{
    using changes_result = state_result<std::vector<configuration_change>>;
    const std::uint64_t lifetime = m_daemons[from].lifetime;
    const bool isCut = m_isCut && m_isCut(m_daemons[from].zone, platformZone);
    m_events.after(m_settings.tableLatency, [this, from, lifetime, isCut, after = action.after] {
        if (m_daemons[from].lifetime != lifetime)
            return;
        const changes_result read = isCut
            ? changes_result(state_error { state_errc::Unavailable, "table", "cut off" })
            : m_log.readAfter(after);
        m_daemons[from].bytes += tableReadBytes;
        if (read) {
            for (const configuration_change& change : read.value())
                m_daemons[from].bytes += messageBytes(change);
        }
        perform(from, m_daemons[from].spread->onTableReadResult(read, now()));
    });
}

// The configuration is checked after every step, so there is nothing to do.
void spread_fleet::performOne(std::size_t, const configuration_applied&) { }

void spread_fleet::performOne(std::size_t, const apply_failed&) { ++m_faults; }

std::uint64_t spread_fleet::tableReads() const
{
    return m_table.calls(table_operation::ReadRange) + m_table.calls(table_operation::ReadRow)
        + m_table.calls(table_operation::ReadObject);
}

void spread_fleet::push(const configuration_change& change)
{
    m_pushes[change.version].change = change;
    m_pushes[change.version].rounds = 0;
    pushRound(change.version);
}

void spread_fleet::pushRound(config_version version)
{
    push_state& state = m_pushes[version];
    if (state.acceptedAt || ++state.rounds > pushRounds)
        return;
    for (std::size_t index = 0; index < m_daemons.size(); ++index) {
        const virtual_daemon& target = m_daemons[index];
        if (!target.isEntry || target.isIsolated || state.holders.contains(target.id))
            continue;
        if (isLost(platformZone, target.zone))
            continue;
        m_events.after(latency(), [this, index, version, lifetime = target.lifetime] {
            if (!m_daemons[index].spread || m_daemons[index].lifetime != lifetime)
                return;
            perform(index, m_daemons[index].spread->onChangePushed(m_pushes[version].change, now()));
            if (m_daemons[index].spread->hasVersion(version) && !isLost(m_daemons[index].zone, platformZone))
                m_events.after(latency(), [this, index, version] { acknowledge(version, index); });
        });
        if (!m_settings.pushToAllEntries)
            return;
    }
    m_events.after(pushPause, [this, version] { pushRound(version); });
}

bool spread_fleet::isAccepted(const push_state& state) const
{
    for (const auto& [zone, entries] : m_zoneEntries) {
        const bool isReachable = !m_isCut || !m_isCut(platformZone, zone);
        const auto isHolder = [&](const daemon_id& entry) { return state.holders.contains(entry); };
        const auto holders = static_cast<std::size_t>(std::count_if(entries.begin(), entries.end(), isHolder));
        if (isReachable && holders < majorityOf(entries.size()))
            return false;
    }
    return true;
}

void spread_fleet::acknowledge(config_version version, std::size_t entry)
{
    push_state& state = m_pushes[version];
    state.holders.insert(m_daemons[entry].id);
    if (state.acceptedAt || !isAccepted(state))
        return;
    state.acceptedAt = now();
    for (const auto& [zone, entries] : m_zoneEntries) {
        if (!m_isCut || !m_isCut(platformZone, zone))
            m_accepted[zone] = std::max(m_accepted[zone], version);
    }
    if (m_whenAccepted)
        m_whenAccepted();
}

std::optional<time_point> spread_fleet::acceptedAt(config_version version) const
{
    const auto found = m_pushes.find(version);
    return found == m_pushes.end() ? std::nullopt : found->second.acceptedAt;
}

bool spread_fleet::isInForce(
    config_version version, const std::function<bool(const virtual_daemon&)>& counts) const
{
    return std::all_of(m_daemons.begin(), m_daemons.end(), [&](const virtual_daemon& daemon) {
        return !counts(daemon) || (daemon.spread && daemon.spread->hasVersion(version));
    });
}

}
