#pragma once

#include "coordination/spread/change_history.h"
#include "coordination/spread/config_spread_settings.h"
#include "coordination/spread/snapshot_receiver.h"
#include "coordination/spread/spread_action.h"
#include "coordination/spread/spread_peer.h"
#include "coordination/spread/start_quorum.h"
#include "state/configuration.h"
#include "state/state_error.h"
#include "state/time.h"

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace sardinelb {

// Keeps the configuration of one daemon up to date. Changes come from the table, if the daemon is one of the few
// pollers of its zone; from any peer whose frames carry a higher version; from exchanges with one random peer per
// second; and from operators, who push them. The version never decreases. Pure state machine; not thread-safe.
class config_spread {
public:
    config_spread(config_spread_settings, std::uint64_t seed);

    // Starts without a configuration.
    spread_actions start(time_point now);

    // Sets the peers that are believed to be alive, without the daemon itself.
    void setPeers(std::vector<spread_peer>);

    // Sets all entries of the daemon's zone, dead or alive, including the daemon itself if it is an entry. Must be the
    // list over which the acceptance of changes is counted.
    void setZoneEntries(std::vector<daemon_id>);

    // Handles the version in the header of a frame. Call it for every frame, before the handler of its message.
    void onFrameReceived(const daemon_id& from, config_version, time_point now);

    spread_actions onChangesRequested(const daemon_id& from, const changes_request_message&, time_point now);
    spread_actions onChangesReceived(const daemon_id& from, const changes_message&, time_point now);

    // Handles a committed change that an operator pushed. Afterwards, holds() tells whether it is in force here.
    spread_actions onChangePushed(const configuration_change&, time_point now);

    // Result of load_table.
    spread_actions onTableLoadResult(const state_result<configuration>&, time_point now);

    // Result of read_table.
    spread_actions onTableReadResult(const state_result<std::vector<configuration_change>>&, time_point now);

    // Performs the actions that are due. Call about every 100 ms.
    spread_actions tick(time_point now);

    // Whether the daemon may serve: it has every change that was accepted in its zone when it started.
    bool isReady() const { return m_isReady; }

    // Whether the daemon is ready and has applied this change and all before it. Never becomes false again.
    bool hasVersion(config_version version) const { return m_isReady && m_current.version >= version; }

    // Whether the daemon is ready and has applied this very change and all before it. A table that was restored to an
    // earlier state accepts a second change with the version of one that it has lost; this daemon keeps the first.
    bool holds(const configuration_change&) const;

    // The change with the current version, or nullptr if the configuration was loaded as a whole.
    const configuration_change* newestChange() const { return m_history.find(m_current.version); }

    // The latest applied changes, in order and without gaps. Empty if the configuration was just loaded as a whole.
    std::vector<configuration_change> recentChanges() const;

    const configuration& current() const { return m_current; }
    config_version version() const { return m_current.version; }

private:
    // A peer that announced a higher version.
    struct fetch_source {
        daemon_id peer;
        config_version version;
    };

    // A request for changes that awaits its answer.
    struct pending_fetch {
        std::uint64_t nonce;
        time_point deadline;
    };

    duration jitterUpTo(duration);
    duration withJitter(duration);
    std::uint64_t nextNonce() { return ++m_lastNonce; }

    void becomeReady(spread_actions&);
    void tickStart(spread_actions&, time_point now);
    void tickTable(spread_actions&, time_point now);
    void tickExchange(spread_actions&, time_point now);
    void tickFetch(spread_actions&, time_point now);
    void queryVersions(spread_actions&, time_point now);
    void checkQuorum(spread_actions&);
    void selectFetchSource();
    void sendFetch(spread_actions&, const daemon_id& to, time_point now);
    void onFetchFailed(time_point now);
    std::optional<daemon_id> randomPeer();
    bool tryReserveAnswer(time_point now);
    changes_message::snapshot_part snapshotPartFor(const changes_request_message&) const;
    changes_message answerTo(const changes_request_message&, time_point now);

    // Applies the changes that follow the current version; returns whether the version increased.
    bool applyChanges(spread_actions&, const std::string& source, const std::vector<configuration_change>&);
    bool applySnapshot(spread_actions&, const std::string& source, const changes_message::snapshot_part&);
    void replaceConfiguration(spread_actions&, configuration);

    config_spread_settings m_settings;
    std::mt19937_64 m_random;
    configuration m_current;
    change_history m_history;
    snapshot_receiver m_snapshotReceiver;
    std::vector<spread_peer> m_peers;
    // Indices of the peers in the daemon's zone.
    std::vector<std::size_t> m_zonePeers;
    bool m_isPoller = false;
    bool m_isReady = false;

    // Startup without the table.
    start_quorum m_quorum;
    std::uint64_t m_roundNonce = 0;
    time_point m_nextQueryRound;
    time_point m_nextVersionQuery;
    time_point m_nextLoad;
    duration m_loadBackoff {};

    // Table.
    bool m_isTableBusy = false;
    time_point m_nextPoll;
    time_point m_nextGapRead;

    // Peers.
    std::uint64_t m_lastNonce = 0;
    time_point m_nextExchange;
    std::optional<fetch_source> m_fetchSource;
    std::optional<pending_fetch> m_pendingFetch;
    time_point m_nextFetch;
    int m_failedFetches = 0;

    // Answers with content in the current window of one second.
    time_point m_answerWindowStart;
    int m_answersInWindow = 0;
};

}
