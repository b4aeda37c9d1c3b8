#include "daemon/configuration_feed.h"

#include "daemon/logger.h"
#include "state/change_json.h"
#include "state/name_digest.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

namespace sardinelb {

namespace {

constexpr duration tickInterval = std::chrono::milliseconds(100);

std::uint64_t seedFor(const config_spread_settings& settings)
{
    return nameDigest(settings.self.value());
}

std::vector<daemon_id> entriesIn(const std::vector<entry_address>& entries, const availability_zone_id& zone)
{
    std::vector<daemon_id> names;
    for (const entry_address& entry : entries) {
        if (entry.zone == zone)
            names.push_back(entry.id);
    }
    return names;
}

}

configuration_feed::configuration_feed(
    const config_spread_settings& settings, std::vector<entry_address> entries, table_service table, hooks callbacks)
    : m_spread(settings, seedFor(settings))
    , m_entries(std::move(entries))
    , m_log(std::make_shared<change_log>(std::move(table)))
    , m_hooks(std::move(callbacks))
{
    m_spread.setZoneEntries(entriesIn(m_entries, settings.zone));
}

configuration_feed::~configuration_feed() = default;

void configuration_feed::start(time_point now)
{
    perform(m_spread.start(now));
}

void configuration_feed::tick(time_point now)
{
    if (now < m_nextTick)
        return;
    m_nextTick = now + tickInterval;
    perform(m_spread.tick(now));
}

void configuration_feed::onPeerConnected(const daemon_id& peer)
{
    if (std::find(m_connected.begin(), m_connected.end(), peer) == m_connected.end())
        m_connected.push_back(peer);
    updatePeers();
}

void configuration_feed::onPeerLost(const daemon_id& peer)
{
    std::erase(m_connected, peer);
    updatePeers();
}

void configuration_feed::updatePeers()
{
    std::vector<spread_peer> peers;
    peers.reserve(m_connected.size());
    for (const daemon_id& peer : m_connected)
        peers.push_back({ peer, zoneOf(peer) });
    m_spread.setPeers(std::move(peers));
}

availability_zone_id configuration_feed::zoneOf(const daemon_id& peer) const
{
    for (const entry_address& entry : m_entries) {
        if (entry.id == peer)
            return entry.zone;
    }
    const auto& runners = m_spread.current().runners;
    const auto found = runners.find(runner_id(peer.value()));
    return found == runners.end() ? availability_zone_id() : found->second.zone;
}

void configuration_feed::onMessage(
    const daemon_id& from, config_version version, const peer_message& message, time_point now)
{
    m_spread.onFrameReceived(from, version, now);
    if (const auto* request = std::get_if<changes_request_message>(&message))
        perform(m_spread.onChangesRequested(from, *request, now));
    else if (const auto* changes = std::get_if<changes_message>(&message))
        perform(m_spread.onChangesReceived(from, *changes, now));
}

bool configuration_feed::push(const std::string& text, time_point now)
{
    const auto change = changeFromText(text, "pushed change");
    if (!change)
        return false;
    perform(m_spread.onChangePushed(change.value(), now));
    return m_spread.holds(change.value());
}

void configuration_feed::perform(const spread_actions& actions)
{
    for (const spread_action& action : actions) {
        if (const auto* request = std::get_if<send_changes_request>(&action))
            m_hooks.send(request->to, request->message);
        else if (const auto* changes = std::get_if<send_changes>(&action))
            m_hooks.send(changes->to, changes->message);
        else if (const auto* read = std::get_if<read_table>(&action))
            readTable(read->after);
        else if (std::holds_alternative<load_table>(action))
            loadTable();
        else if (const auto* fault = std::get_if<apply_failed>(&action))
            logWarning("config", fault->subject + ": " + fault->detail + ".");
    }
    publish();
}

void configuration_feed::loadTable()
{
    m_hooks.runOnStoreThread([this, log = m_log] {
        m_hooks.runOnDecisionThread([this, loaded = log->load()](time_point now) {
            if (!loaded)
                logWarning("store", loaded.error().subject + ": " + loaded.error().detail + ".");
            perform(m_spread.onTableLoadResult(loaded, now));
        });
    });
}

void configuration_feed::readTable(config_version after)
{
    const configuration_change* newest = m_spread.newestChange();
    m_hooks.runOnStoreThread([this, log = m_log, after, known = newest ? std::optional(*newest) : std::nullopt] {
        const state_result<bool> lost = known ? log->hasLost(*known) : state_result<bool>(false);
        const bool isOwnHistory = lost && !lost.value();
        auto changes = isOwnHistory ? log->readAfter(after) : std::vector<configuration_change>();
        m_hooks.runOnDecisionThread([this, changes = std::move(changes), lost](time_point now) {
            perform(m_spread.onTableReadResult(changes, now));
            if (!lost)
                logTableFault(lost.error());
            else if (lost.value())
                rewriteLostChanges();
            else
                m_lastTableFault.clear();
        });
    });
}

// A table that was restored from an earlier copy has lost committed changes, which are in force here.
void configuration_feed::rewriteLostChanges()
{
    if (std::exchange(m_isRewriting, true))
        return;
    logWarning("store", "The table has lost change " + std::to_string(m_spread.version().value()) + "; writing it again.");
    const bool isPosted = m_hooks.runOnStoreThread([this, log = m_log, changes = m_spread.recentChanges()] {
        m_hooks.runOnDecisionThread([this, written = log->rewriteLost(changes)](time_point) {
            m_isRewriting = false;
            if (!written)
                logTableFault(written.error());
        });
    });
    m_isRewriting = m_isRewriting && isPosted;
}

void configuration_feed::logTableFault(const state_error& error)
{
    const std::string text = error.subject + ": " + error.detail + ".";
    if (std::exchange(m_lastTableFault, text) != text)
        logWarning("store", text);
}

// Activates the current configuration if it is newer than the active one.
void configuration_feed::publish()
{
    if (!m_spread.isReady() || m_spread.version() == config_version())
        return;
    if (m_active && m_active->config.version >= m_spread.version())
        return;
    auto names = name_index::build(m_spread.current());
    if (!names) {
        logWarning("config", names.error().subject + ": " + names.error().detail + ".");
        return;
    }
    m_active = std::make_shared<const directory>(directory { m_spread.current(), std::move(names.value()) });
    logInfo("config", {}, "Configuration version " + std::to_string(m_spread.version().value()) + " is active.");
    updatePeers();
    m_hooks.onConfiguration(m_active);
}

}
