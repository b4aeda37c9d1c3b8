#include "coordination/spread/config_spread.h"

#include "coordination/spread/poller_rank.h"
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

}

config_spread::config_spread(config_spread_settings settings, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_random(seed)
    , m_history(m_settings.historyChanges, m_settings.historyBytes)
    // Answers to an earlier incarnation must not match a request of this one.
    , m_lastNonce(m_random())
{
}

duration config_spread::jitterUpTo(duration longest)
{
    return duration(std::uniform_int_distribution<duration::rep>(0, longest.count())(m_random));
}

// A tenth of jitter keeps daemons that were started together from acting together.
duration config_spread::around(duration interval) { return interval * 9 / 10 + jitterUpTo(interval / 5); }

spread_actions config_spread::start(time_point now)
{
    m_isTableBusy = true;
    m_loadPause = oneSecond;
    m_nextRound = now + m_settings.startPatience;
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
    // A starting daemon asks the entries of its zone and follows no other frame.
    if (!m_isReady || version <= m_current.version)
        return;
    const bool isFirst = !m_source || m_source->version <= m_current.version;
    if (isFirst && !m_fetch)
        m_nextFetch = std::max(m_nextFetch, now + jitterUpTo(m_settings.fetchJitter));
    if (isFirst || version >= m_source->version)
        m_source = fetch_source { from, version };
}

void config_spread::becomeReady(spread_actions& actions)
{
    if (m_isReady)
        return;
    m_isReady = true;
    actions.emplace_back(configuration_applied { m_current.version });
}

void config_spread::adopt(spread_actions& actions, configuration next)
{
    if (next.version <= m_current.version)
        return;
    m_current = std::move(next);
    m_history.restart(m_current.version);
    actions.emplace_back(configuration_applied { m_current.version });
}

bool config_spread::applyAll(
    spread_actions& actions, const std::string& source, const std::vector<configuration_change>& changes)
{
    const config_version before = m_current.version;
    for (const configuration_change& change : changes) {
        if (change.version <= m_current.version)
            continue;
        // A gap is filled by the next fetch.
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
        adopt(actions, std::move(*received.value()));
    return part.first == expected;
}

spread_actions config_spread::onChangePushed(const configuration_change& change, time_point now)
{
    spread_actions actions;
    applyAll(actions, "operator", { change });
    // A daemon that lacks earlier changes gets them from the table at once; the operator is waiting.
    if (m_isReady && m_current.version < change.version && !m_isTableBusy && now >= m_nextGapRead) {
        m_isTableBusy = true;
        m_nextGapRead = now + m_settings.pollInterval;
        actions.emplace_back(read_table { m_current.version });
    }
    return actions;
}

spread_actions config_spread::onTableLoadResult(const state_result<configuration>& loaded, time_point now)
{
    spread_actions actions;
    m_isTableBusy = false;
    if (loaded) {
        adopt(actions, loaded.value());
        becomeReady(actions);
        return actions;
    }
    m_nextLoad = now + around(m_loadPause);
    m_loadPause = std::min(m_loadPause * 2, m_settings.maxLoadPause);
    m_nextRound = std::min(m_nextRound, now);
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
    // A batch may be cut short, so what follows is read without a pause.
    if (applyAll(actions, "table", answer.value()))
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
    if (now >= m_nextRound) {
        m_nextRound = now + around(m_settings.startRound);
        m_nextQuestion = now;
        m_roundNonce = nextNonce();
        m_quorum.beginRound();
    }
    if (m_roundNonce != 0 && now >= m_nextQuestion)
        askVersions(actions, now);
    followBestEntry();
}

void config_spread::askVersions(spread_actions& actions, time_point now)
{
    m_nextQuestion = now + around(m_settings.startQuestionPause);
    for (const daemon_id& entry : m_quorum.unanswered()) {
        const auto question = requestAfter(changes_request_message::versionOnly, m_roundNonce);
        actions.emplace_back(send_changes_request { entry, question });
    }
}

void config_spread::checkQuorum(spread_actions& actions)
{
    const std::optional<config_version> required = m_quorum.requiredVersion();
    if (required && m_current.version >= *required)
        becomeReady(actions);
}

// What one entry has is fetched at once, while the others are still being asked.
void config_spread::followBestEntry()
{
    const std::optional<start_quorum::answer> best = m_quorum.drawBest(m_random);
    if (best && best->version > m_current.version)
        m_source = fetch_source { best->entry, best->version };
}

void config_spread::tickTable(spread_actions& actions, time_point now)
{
    if (!m_isPoller || m_isTableBusy || now < m_nextPoll)
        return;
    m_isTableBusy = true;
    m_nextPoll = now + around(m_settings.pollInterval);
    actions.emplace_back(read_table { m_current.version });
}

std::optional<daemon_id> config_spread::randomPeer()
{
    if (m_peers.empty())
        return std::nullopt;
    const auto draw = [this](std::size_t count) {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    };
    // Half of the exchanges stay in the zone, so that a zone that is cut off still agrees within itself.
    const bool inZone = !m_zonePeers.empty() && draw(2) == 0;
    return m_peers[inZone ? m_zonePeers[draw(m_zonePeers.size())] : draw(m_peers.size())].daemon;
}

void config_spread::tickExchange(spread_actions& actions, time_point now)
{
    if (now < m_nextExchange)
        return;
    m_nextExchange = now + around(m_settings.exchangeInterval);
    // The header of this frame tells the peer the own version, so that it fetches what it lacks.
    if (const std::optional<daemon_id> peer = randomPeer())
        actions.emplace_back(send_changes_request { *peer, requestAfter(m_current.version, nextNonce()) });
}

void config_spread::tickFetch(spread_actions& actions, time_point now)
{
    if (m_fetch && now >= m_fetch->deadline) {
        m_fetch.reset();
        fetchFailed(now);
    }
    if (m_source && m_source->version <= m_current.version)
        m_source.reset();
    if (m_source && !m_fetch && now >= m_nextFetch)
        sendFetch(actions, m_source->peer, now);
}

void config_spread::sendFetch(spread_actions& actions, const daemon_id& to, time_point now)
{
    m_fetch = open_fetch { nextNonce(), now + m_settings.fetchTimeout };
    changes_request_message request = requestAfter(m_current.version, m_fetch->nonce);
    request.snapshotAllowed = m_current.version == config_version() || m_snapshotReceiver.next() > 0
        || m_failedFetches >= m_settings.failuresUntilSnapshot;
    request.snapshotFirst = m_snapshotReceiver.next();
    request.snapshotVersion = m_snapshotReceiver.version();
    actions.emplace_back(send_changes_request { to, request });
}

void config_spread::fetchFailed(time_point now)
{
    ++m_failedFetches;
    // Another peer will show a higher version; exchanges with random peers bring it about.
    m_source.reset();
    const int doublings = std::min(m_failedFetches, 10);
    const duration pause = std::min(m_settings.fetchJitter * (1 << doublings), m_settings.maxFetchPause);
    m_nextFetch = now + jitterUpTo(pause);
}

bool config_spread::mayAnswer(time_point now)
{
    if (now >= m_answerWindow + oneSecond) {
        m_answerWindow = now;
        m_answers = 0;
    }
    return ++m_answers <= m_settings.answersPerSecond;
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
    const bool isCovered = m_history.covers(request.after);
    if ((!isCovered && !request.snapshotAllowed) || !mayAnswer(now))
        return answer;
    if (isCovered)
        answer.changes = m_history.after(request.after, m_settings.maxMessageBytes);
    else
        answer.snapshot = snapshotPartFor(request);
    return answer;
}

spread_actions config_spread::onChangesRequested(
    const daemon_id& from, const changes_request_message& request, time_point now)
{
    // A daemon that is not ready may hold less than was accepted and must not be counted by others.
    if (!m_isReady)
        return {};
    const bool isQuestion = request.after == changes_request_message::versionOnly;
    if (!isQuestion && request.after >= m_current.version)
        return {};
    return { send_changes { from, answerTo(request, now) } };
}

spread_actions config_spread::onChangesReceived(const daemon_id& from, const changes_message& message, time_point now)
{
    spread_actions actions;
    bool isProgress = applyAll(actions, from.value(), message.changes);
    if (message.snapshot)
        isProgress = applySnapshot(actions, from.value(), *message.snapshot) || isProgress;
    if (!m_isReady && m_roundNonce != 0 && message.nonce == m_roundNonce)
        m_quorum.answered(from, message.version);
    if (m_fetch && m_fetch->nonce == message.nonce) {
        m_fetch.reset();
        if (!isProgress)
            fetchFailed(now);
    }
    if (isProgress) {
        m_failedFetches = 0;
        m_nextFetch = now;
    }
    if (message.version > m_current.version && isProgress)
        m_source = fetch_source { from, message.version };
    if (!m_isReady) {
        followBestEntry();
        checkQuorum(actions);
    }
    tickFetch(actions, now);
    return actions;
}

}
