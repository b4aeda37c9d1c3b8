#include "coordination/spread/config_spread.h"

#include "coordination/spread/poller_selection.h"
#include "state/apply_change.h"
#include "state/entity.h"
#include "state/snapshot_json.h"

#include <algorithm>

namespace sardinelb {

namespace {

constexpr duration oneSecond = std::chrono::seconds(1);

changes_request_message requestAfter(config_version version, std::uint64_t nonce)
{
    changes_request_message request;
    request.after = version;
    request.nonce = nonce;
    return request;
}

// Whether the configuration can be the result of the update, made by the change with the version, and of later changes.
bool isReflected(const configuration& current, const entity_update& update, config_version version)
{
    const std::optional<entity> existing = findEntity(current, update.kind, update.id);
    if (update.kind == entity_kind::NamingScheme)
        return existing || !update.value;
    if (!existing)
        return !update.value;
    return update.value ? changedAt(*existing) >= version : changedAt(*existing) > version;
}

}

config_spread::config_spread(config_spread_settings settings, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_random(seed)
    , m_history(m_settings.historyChanges, m_settings.historyBytes)
    // Random, so that answers to an earlier incarnation do not match a request of this one.
    , m_lastNonce(m_random())
{
}

duration config_spread::jitterUpTo(duration maximum)
{
    return duration(std::uniform_int_distribution<duration::rep>(0, maximum.count())(m_random));
}

// Jitter of a tenth keeps daemons that were started together from acting at the same time.
duration config_spread::withJitter(duration interval) { return interval * 9 / 10 + jitterUpTo(interval / 5); }

spread_actions config_spread::start(time_point now)
{
    m_isTableBusy = true;
    m_loadBackoff = oneSecond;
    m_nextQueryRound = now + m_settings.startTableTimeout;
    m_nextPoll = now + jitterUpTo(m_settings.pollInterval);
    m_nextExchange = now + jitterUpTo(m_settings.exchangeInterval);
    return { load_table {} };
}

void config_spread::setPeers(std::vector<spread_peer> peers)
{
    m_peers = std::move(peers);
    m_zonePeers.clear();
    for (std::size_t index = 0; index < m_peers.size(); ++index) {
        if (m_peers[index].zone == m_settings.zone)
            m_zonePeers.push_back(index);
    }
    m_isPoller = isPollerOf(m_settings.zone, m_settings.self, m_peers, m_settings.pollersPerZone);
}

void config_spread::setZoneEntries(std::vector<daemon_id> entries)
{
    m_quorum.setEntries(std::move(entries), m_settings.self);
}

void config_spread::onFrameReceived(const daemon_id& from, config_version version, time_point now)
{
    // A starting daemon queries the entries of its zone and ignores the versions in other frames.
    if (!m_isReady || version <= m_current.version)
        return;
    const bool isFirst = !m_fetchSource || m_fetchSource->version <= m_current.version;
    if (isFirst && !m_pendingFetch)
        m_nextFetch = std::max(m_nextFetch, now + jitterUpTo(m_settings.fetchJitter));
    if (isFirst || version >= m_fetchSource->version)
        m_fetchSource = fetch_source { from, version };
}

void config_spread::becomeReady(spread_actions& actions)
{
    if (m_isReady)
        return;
    m_isReady = true;
    actions.emplace_back(configuration_applied { m_current.version });
}

void config_spread::replaceConfiguration(spread_actions& actions, configuration next)
{
    if (next.version <= m_current.version)
        return;
    m_current = std::move(next);
    m_history.restart(m_current.version);
    actions.emplace_back(configuration_applied { m_current.version });
}

bool config_spread::applyChanges(
    spread_actions& actions, const std::string& source, const std::vector<configuration_change>& changes)
{
    const config_version before = m_current.version;
    for (const configuration_change& change : changes) {
        if (change.version <= m_current.version)
            continue;
        // The next fetch fills the gap.
        if (change.version.value() != m_current.version.value() + 1)
            break;
        const auto applied = applyCommittedChange(m_current, change);
        if (!applied) {
            actions.emplace_back(apply_failed { source, applied.error().subject + ": " + applied.error().detail });
            break;
        }
        m_history.add(change);
    }
    if (m_current.version == before)
        return false;
    actions.emplace_back(configuration_applied { m_current.version });
    return true;
}

bool config_spread::applySnapshot(
    spread_actions& actions, const std::string& source, const changes_message::snapshot_part& part)
{
    if (part.version <= m_current.version)
        return false;
    const std::uint32_t expected = m_snapshotReceiver.next();
    auto received = m_snapshotReceiver.add(part);
    if (!received) {
        const state_error error = toStateError(received.error());
        actions.emplace_back(apply_failed { source, error.detail });
        return false;
    }
    if (received.value())
        replaceConfiguration(actions, std::move(*received.value()));
    return part.first == expected;
}

spread_actions config_spread::onChangePushed(const configuration_change& change, time_point now)
{
    spread_actions actions;
    applyChanges(actions, "operator", { change });
    if (hasVersion(change.version) && !holds(change))
        actions.emplace_back(apply_failed { "operator",
            "change " + std::to_string(change.version.value())
                + " is not in force: another change with this version was committed before" });
    // Missing earlier changes are read from the table at once, because the operator is waiting.
    if (m_isReady && m_current.version < change.version && !m_isTableBusy && now >= m_nextGapRead) {
        m_isTableBusy = true;
        m_nextGapRead = now + m_settings.pollInterval;
        actions.emplace_back(read_table { m_current.version });
    }
    return actions;
}

bool config_spread::holds(const configuration_change& change) const
{
    if (!hasVersion(change.version))
        return false;
    if (const configuration_change* applied = m_history.find(change.version))
        return applied->token == change.token;
    return std::ranges::all_of(change.updates,
        [&](const entity_update& update) { return isReflected(m_current, update, change.version); });
}

std::vector<configuration_change> config_spread::recentChanges() const
{
    return m_history.changesAfter(m_history.baseVersion(), m_settings.historyBytes);
}

spread_actions config_spread::onTableLoadResult(const state_result<configuration>& loaded, time_point now)
{
    spread_actions actions;
    m_isTableBusy = false;
    if (loaded) {
        replaceConfiguration(actions, loaded.value());
        becomeReady(actions);
        return actions;
    }
    m_nextLoad = now + withJitter(m_loadBackoff);
    m_loadBackoff = std::min(m_loadBackoff * 2, m_settings.maxLoadBackoff);
    m_nextQueryRound = std::min(m_nextQueryRound, now);
    return actions;
}

spread_actions config_spread::onTableReadResult(
    const state_result<std::vector<configuration_change>>& answer, time_point now)
{
    spread_actions actions;
    m_isTableBusy = false;
    if (!answer) {
        if (answer.error().code == state_errc::Invalid)
            actions.emplace_back(apply_failed { "table", answer.error().subject + ": " + answer.error().detail });
        return actions;
    }
    // The result may be incomplete, so the next batch is read without delay.
    if (applyChanges(actions, "table", answer.value()))
        m_nextPoll = now;
    return actions;
}

spread_actions config_spread::tick(time_point now)
{
    spread_actions actions;
    if (!m_isReady)
        tickStart(actions, now);
    tickFetch(actions, now);
    if (!m_isReady)
        return actions;
    tickTable(actions, now);
    tickExchange(actions, now);
    return actions;
}

void config_spread::tickStart(spread_actions& actions, time_point now)
{
    if (!m_isTableBusy && now >= m_nextLoad) {
        m_isTableBusy = true;
        actions.emplace_back(load_table {});
    }
    if (now >= m_nextQueryRound) {
        m_nextQueryRound = now + withJitter(m_settings.startRoundInterval);
        m_nextVersionQuery = now;
        m_roundNonce = nextNonce();
        m_quorum.beginRound();
    }
    if (m_roundNonce != 0 && now >= m_nextVersionQuery)
        queryVersions(actions, now);
    selectFetchSource();
}

void config_spread::queryVersions(spread_actions& actions, time_point now)
{
    m_nextVersionQuery = now + withJitter(m_settings.startQueryRetryInterval);
    for (const daemon_id& entry : m_quorum.unansweredEntries()) {
        const auto query = requestAfter(changes_request_message::versionOnly, m_roundNonce);
        actions.emplace_back(send_changes_request { entry, query });
    }
}

void config_spread::checkQuorum(spread_actions& actions)
{
    const std::optional<config_version> required = m_quorum.requiredVersion();
    if (required && m_current.version >= *required)
        becomeReady(actions);
}

// The highest version reported so far is fetched while other entries are still being queried.
void config_spread::selectFetchSource()
{
    const std::optional<start_quorum::answer> best = m_quorum.drawBest(m_random);
    if (best && best->version > m_current.version)
        m_fetchSource = fetch_source { best->entry, best->version };
}

void config_spread::tickTable(spread_actions& actions, time_point now)
{
    if (!m_isPoller || m_isTableBusy || now < m_nextPoll)
        return;
    m_isTableBusy = true;
    m_nextPoll = now + withJitter(m_settings.pollInterval);
    actions.emplace_back(read_table { m_current.version });
}

std::optional<daemon_id> config_spread::randomPeer()
{
    if (m_peers.empty())
        return std::nullopt;
    const auto draw = [this](std::size_t count) {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    };
    // Half of the exchanges stay within the zone, so that a partitioned zone still converges.
    const bool inZone = !m_zonePeers.empty() && draw(2) == 0;
    return m_peers[inZone ? m_zonePeers[draw(m_zonePeers.size())] : draw(m_peers.size())].daemon;
}

void config_spread::tickExchange(spread_actions& actions, time_point now)
{
    if (now < m_nextExchange)
        return;
    m_nextExchange = now + withJitter(m_settings.exchangeInterval);
    // The header of this frame carries the daemon's version, so that the peer fetches what it lacks.
    if (const std::optional<daemon_id> peer = randomPeer())
        actions.emplace_back(send_changes_request { *peer, requestAfter(m_current.version, nextNonce()) });
}

void config_spread::tickFetch(spread_actions& actions, time_point now)
{
    if (m_pendingFetch && now >= m_pendingFetch->deadline) {
        m_pendingFetch.reset();
        onFetchFailed(now);
    }
    if (m_fetchSource && m_fetchSource->version <= m_current.version)
        m_fetchSource.reset();
    if (m_fetchSource && !m_pendingFetch && now >= m_nextFetch)
        sendFetch(actions, m_fetchSource->peer, now);
}

void config_spread::sendFetch(spread_actions& actions, const daemon_id& to, time_point now)
{
    m_pendingFetch = pending_fetch { nextNonce(), now + m_settings.fetchTimeout };
    changes_request_message request = requestAfter(m_current.version, m_pendingFetch->nonce);
    request.snapshotAllowed = m_current.version == config_version() || m_snapshotReceiver.next() > 0
        || m_failedFetches >= m_settings.failuresUntilSnapshot;
    request.snapshotFirst = m_snapshotReceiver.next();
    request.snapshotVersion = m_snapshotReceiver.version();
    actions.emplace_back(send_changes_request { to, request });
}

void config_spread::onFetchFailed(time_point now)
{
    ++m_failedFetches;
    // Exchanges with random peers will find another peer with a higher version.
    m_fetchSource.reset();
    const int doublings = std::min(m_failedFetches, 10);
    const duration pause = std::min(m_settings.fetchJitter * (1 << doublings), m_settings.maxFetchBackoff);
    m_nextFetch = now + jitterUpTo(pause);
}

bool config_spread::tryReserveAnswer(time_point now)
{
    if (now >= m_answerWindowStart + oneSecond) {
        m_answerWindowStart = now;
        m_answersInWindow = 0;
    }
    return ++m_answersInWindow <= m_settings.maxAnswersPerSecond;
}

changes_message::snapshot_part config_spread::snapshotPartFor(const changes_request_message& request) const
{
    const std::size_t total = entityCount(m_current);
    const bool isContinued = request.snapshotVersion == m_current.version && request.snapshotFirst < total;
    const std::uint32_t first = isContinued ? request.snapshotFirst : 0;
    snapshot_slice slice = sliceToText(m_current, first, m_settings.snapshotPartBytes);
    return { m_current.version, first, static_cast<std::uint32_t>(slice.next), static_cast<std::uint32_t>(total),
        std::move(slice.text) };
}

changes_message config_spread::answerTo(const changes_request_message& request, time_point now)
{
    changes_message answer { request.nonce, m_current.version, {}, {} };
    if (request.after >= m_current.version)
        return answer;
    const bool hasChanges = m_history.hasAllAfter(request.after);
    if ((!hasChanges && !request.snapshotAllowed) || !tryReserveAnswer(now))
        return answer;
    if (hasChanges)
        answer.changes = m_history.changesAfter(request.after, m_settings.maxMessageBytes);
    else
        answer.snapshot = snapshotPartFor(request);
    return answer;
}

spread_actions config_spread::onChangesRequested(
    const daemon_id& from, const changes_request_message& request, time_point now)
{
    // A daemon that is not ready may lack accepted changes and must not be counted by others.
    if (!m_isReady)
        return {};
    const bool isVersionQuery = request.after == changes_request_message::versionOnly;
    if (!isVersionQuery && request.after >= m_current.version)
        return {};
    return { send_changes { from, answerTo(request, now) } };
}

spread_actions config_spread::onChangesReceived(const daemon_id& from, const changes_message& message, time_point now)
{
    spread_actions actions;
    bool isProgress = applyChanges(actions, from.value(), message.changes);
    if (message.snapshot)
        isProgress = applySnapshot(actions, from.value(), *message.snapshot) || isProgress;
    if (!m_isReady && m_roundNonce != 0 && message.nonce == m_roundNonce)
        m_quorum.onAnswer(from, message.version);
    if (m_pendingFetch && m_pendingFetch->nonce == message.nonce) {
        m_pendingFetch.reset();
        if (!isProgress)
            onFetchFailed(now);
    }
    if (isProgress) {
        m_failedFetches = 0;
        m_nextFetch = now;
    }
    if (message.version > m_current.version && isProgress)
        m_fetchSource = fetch_source { from, message.version };
    if (!m_isReady) {
        selectFetchSource();
        checkQuorum(actions);
    }
    tickFetch(actions, now);
    return actions;
}

}
