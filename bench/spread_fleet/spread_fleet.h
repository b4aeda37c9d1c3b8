#pragma once

#include "bench/spread_fleet/event_queue.h"
#include "bench/spread_fleet/fleet_settings.h"
#include "bench/spread_fleet/virtual_daemon.h"
#include "state/change_log.h"
#include "state/memory_table.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace sardinelb {

// Simulates daemons that spread configuration changes, in virtual time: the real state machines and the real change
// log, with a network that loses and delays frames and can be partitioned, and a table that can be down. The table and
// the operator are outside all zones. Deterministic for a given seed.
class spread_fleet {
public:
    // Whether all frames between two zones are lost. The empty zone is that of the table and the operator.
    using partition_rule = std::function<bool(const availability_zone_id&, const availability_zone_id&)>;

    spread_fleet(fleet_settings, std::uint64_t seed);

    // Starts all daemons; their ticks are scheduled from then on.
    void startAll();
    void run(duration span) { m_events.run(span); }
    time_point now() const { return m_events.now(); }

    // Commits a change of one team's contract; the table must be up.
    configuration_change commitChange();

    // Pushes a committed change to the entries in a few rounds, until it is accepted, as an operator's command does. A
    // repeated push keeps the acknowledgements of earlier ones.
    void push(const configuration_change&);

    // Time when a majority of the entries had acknowledged the change in every zone that the operator can reach.
    std::optional<time_point> acceptedAt(config_version) const;

    // Sets an action to run at the moment of a change's acceptance.
    void setAcceptedCallback(std::function<void()> action) { m_acceptedCallback = std::move(action); }

    void setTableDown(bool down) { m_table.setDown(down); }
    void setPartition(partition_rule rule) { m_isPartitioned = std::move(rule); }
    void setLoss(double loss) { m_settings.loss = loss; }

    // Drops all frames to and from one daemon, which keeps running.
    void setIsolated(std::size_t daemon, bool isIsolated) { m_daemons[daemon].isIsolated = isIsolated; }

    void kill(std::size_t daemon);
    // Kills the daemon if it is running, and starts it again.
    void restart(std::size_t daemon);

    const std::vector<virtual_daemon>& daemons() const { return m_daemons; }

    // Whether all daemons that `counts` selects are ready and have the version.
    bool isInForce(config_version, const std::function<bool(const virtual_daemon&)>& counts) const;

    // Number of times that a daemon served a lower version than before, or than was accepted when it started.
    std::uint64_t versionRegressions() const { return m_versionRegressions; }
    std::uint64_t tableReads() const;
    // Maximum number of answers with content that one daemon sent within one second.
    std::uint64_t peakAnswers() const { return m_peakAnswers; }
    std::uint64_t applyFailures() const { return m_applyFailures; }

    // Text of the configuration at every version that was committed.
    const std::map<config_version, std::string>& history() const { return m_history; }

private:
    // Acknowledgements of one pushed change.
    struct push_state {
        configuration_change change;
        std::set<daemon_id> acknowledgedBy;
        std::optional<time_point> acceptedAt;
        int rounds = 0;
    };

    void addZone(const fleet_zone&);
    void linkEntries();
    void prepareTable();
    void tickDaemon(std::size_t, std::uint64_t startCount);
    void sendFrames(std::size_t, std::uint64_t startCount);
    void perform(std::size_t from, const spread_actions&);
    void performOne(std::size_t from, const send_changes_request&);
    void performOne(std::size_t from, const send_changes&);
    void performOne(std::size_t from, const load_table&);
    void performOne(std::size_t from, const read_table&);
    void performOne(std::size_t from, const configuration_applied&);
    void performOne(std::size_t from, const apply_failed&);
    void checkVersion(virtual_daemon&);
    void countAnswer(std::size_t from);
    std::optional<std::size_t> indexOf(const daemon_id&) const;

    // Delivers a frame to a daemon unless it is lost. The function runs on the receiver after it handled the header.
    void sendFrame(std::size_t from, std::size_t to, std::size_t bytes, std::function<spread_actions(config_spread&)>);
    bool isLost(const availability_zone_id& from, const availability_zone_id& to);
    duration latency();
    void pushRound(config_version);
    void acknowledge(config_version, std::size_t entry);
    bool isAccepted(const push_state&) const;

    fleet_settings m_settings;
    std::mt19937_64 m_random;
    event_queue m_events;
    memory_table m_table;
    change_log m_log;
    partition_rule m_isPartitioned;
    std::vector<virtual_daemon> m_daemons;
    std::map<daemon_id, std::size_t> m_indices;
    std::map<availability_zone_id, std::vector<daemon_id>> m_zoneEntries;
    std::map<config_version, push_state> m_pushes;
    std::map<availability_zone_id, config_version> m_accepted;
    std::map<config_version, std::string> m_history;
    std::function<void()> m_acceptedCallback;
    std::map<std::size_t, std::pair<time_point, std::uint64_t>> m_answerWindows;
    std::uint64_t m_peakAnswers = 0;
    std::uint64_t m_versionRegressions = 0;
    std::uint64_t m_applyFailures = 0;
    std::uint64_t m_changes = 0;
};

}
