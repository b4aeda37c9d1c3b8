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

// Keeps the configuration of one daemon up to date: from the table, when the daemon is one of the few pollers of its
// zone; from any peer whose frames show a higher version; from one random peer each second; and from changes that
// operators push. The version never falls. Pure state machine; not safe for use from several threads.
class config_spread {
public:
    config_spread(config_spread_settings, std::uint64_t seed);

    // Starts the daemon without any configuration.
    spread_actions start(time_point now);

    // Replaces the peers that are believed to be alive, without the daemon itself.
    void setPeers(std::vector<spread_peer>);

    // Sets all entries of the own zone, dead or alive, including the daemon itself when it is one. This must be the
    // list over which acceptance is counted.
    void setZoneEntries(std::vector<daemon_id>);

    // Notes the version in the header of a frame. Call it for every frame, before the event of its message.
    void onFrameReceived(const daemon_id& from, config_version, time_point now);

    spread_actions onChangesRequested(const daemon_id& from, const changes_request_message&, time_point now);
    spread_actions onChangesReceived(const daemon_id& from, const changes_message&, time_point now);

    // Takes a committed change from an operator. Afterwards hasVersion() says whether it arrived.
    spread_actions onChangePushed(const configuration_change&, time_point now);

    // Answer to load_table.
    spread_actions onTableLoadResult(const state_result<configuration>&, time_point now);

    // Answer to read_table.
    spread_actions onTableReadResult(const state_result<std::vector<configuration_change>>&, time_point now);

    // Does what has become due. Call about every 100 ms.
    spread_actions tick(time_point now);

    // Whether the daemon may serve: it holds at least what was accepted in its zone when it started.
    bool isReady() const { return m_isReady; }

    // Whether the daemon holds the change of this version and all before it, for good.
    bool hasVersion(config_version version) const { return m_isReady && m_current.version >= version; }

    const configuration& current() const { return m_current; }
    config_version version() const { return m_current.version; }

private:
    // A peer that was seen with a higher version.
    struct fetch_source {
        daemon_id peer;
        config_version version;
    };

    // A request for changes that has not been answered.
    struct open_fetch {
        std::uint64_t nonce;
        time_point deadline;
    };

    duration jitterUpTo(duration);
    duration around(duration);
    std::uint64_t nextNonce() { return ++m_lastNonce; }

    void becomeReady(spread_actions&);
    void tickStart(spread_actions&, time_point now);
    void tickTable(spread_actions&, time_point now);
    void tickExchange(spread_actions&, time_point now);
    void tickFetch(spread_actions&, time_point now);
    void askVersions(spread_actions&, time_point now);
    void checkQuorum(spread_actions&);
    void followBestEntry();
    void sendFetch(spread_actions&, const daemon_id& to, time_point now);
    void fetchFailed(time_point now);
    std::optional<daemon_id> randomPeer();
    bool mayAnswer(time_point now);
    changes_message::snapshot_part snapshotPartFor(const changes_request_message&) const;
    changes_message answerTo(const changes_request_message&, time_point now);

    // Applies the changes that follow the own version; returns whether the version rose.
    bool applyAll(spread_actions&, const std::string& source, const std::vector<configuration_change>&);
    bool applySnapshot(spread_actions&, const std::string& source, const changes_message::snapshot_part&);
    void adopt(spread_actions&, configuration);

    config_spread_settings m_settings;
    std::mt19937_64 m_random;
    configuration m_current;
    change_history m_history;
    snapshot_receiver m_snapshotReceiver;
    std::vector<spread_peer> m_peers;
    // Indices of the peers in the own zone.
    std::vector<std::size_t> m_zonePeers;
    bool m_isPoller = false;
    bool m_isReady = false;

    // Start without the table.
    start_quorum m_quorum;
    std::uint64_t m_roundNonce = 0;
    time_point m_nextRound;
    time_point m_nextQuestion;
    time_point m_nextLoad;
    duration m_loadPause {};

    // Table.
    bool m_isTableBusy = false;
    time_point m_nextPoll;
    time_point m_nextGapRead;

    // Peers.
    std::uint64_t m_lastNonce = 0;
    time_point m_nextExchange;
    std::optional<fetch_source> m_source;
    std::optional<open_fetch> m_fetch;
    time_point m_nextFetch;
    int m_failedFetches = 0;

    // Answers given in the current second.
    time_point m_answerWindow;
    int m_answers = 0;
};

}
