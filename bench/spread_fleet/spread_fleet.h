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

// Daemons that spread configuration changes in virtual time: the real state machines and the real change log, over
// paths that lose, delay and cut frames and a table that can be down. The table and the operator stand outside all
// zones. Deterministic for a seed.
class spread_fleet {
public:
    // Whether frames between two zones are lost. The empty zone is where the table and the operator are.
    using cut_rule = std::function<bool(const availability_zone_id&, const availability_zone_id&)>;

    spread_fleet(fleet_settings, std::uint64_t seed);

    // Starts all daemons, which are then driven until the fleet is destroyed.
    void startAll();
    void run(duration span) { m_events.run(span); }
    time_point now() const { return m_events.now(); }

    // Commits a change of one team's contract; the table must be up.
    configuration_change commitChange();

    // Lets an operator push a committed change to the entries until it is accepted, for a few rounds. Pushing it again
    // goes on counting, as a repeated command does.
    void push(const configuration_change&);

    // When a majority of the entries of every zone that the operator can reach had acknowledged the change.
    std::optional<time_point> acceptedAt(config_version) const;

    // Runs an action at the moment when the change becomes accepted.
    void whenAccepted(std::function<void()> action) { m_whenAccepted = std::move(action); }

    void setTableDown(bool down) { m_table.setDown(down); }
    void setCut(cut_rule rule) { m_isCut = std::move(rule); }
    void setLoss(double loss) { m_settings.loss = loss; }

    // Loses all frames to and from one daemon, which goes on running.
    void setIsolated(std::size_t daemon, bool isIsolated) { m_daemons[daemon].isIsolated = isIsolated; }

    void kill(std::size_t daemon);
    // Ends the process of the daemon, if it runs, and starts a new one.
    void restart(std::size_t daemon);

    const std::vector<virtual_daemon>& daemons() const { return m_daemons; }

    // Whether all daemons that `counts` selects are ready and hold the version.
    bool isInForce(config_version, const std::function<bool(const virtual_daemon&)>& counts) const;

    // Times that a daemon served a lower version than it had served, or than was accepted when it started.
    std::uint64_t versionFalls() const { return m_versionFalls; }
    std::uint64_t tableReads() const;
    // Largest number of answers with content that one daemon gave within one second.
    std::uint64_t peakAnswers() const { return m_peakAnswers; }
    std::uint64_t faults() const { return m_faults; }

    // Text of the configuration at every version that was committed.
    const std::map<config_version, std::string>& history() const { return m_history; }

private:
    // Acknowledgements of one pushed change.
    struct push_state {
        configuration_change change;
        std::set<daemon_id> holders;
        std::optional<time_point> acceptedAt;
        int rounds = 0;
    };

    void addZone(const fleet_zone&);
    void linkEntries();
    void prepareTable();
    void tickDaemon(std::size_t, std::uint64_t lifetime);
    void sendFrames(std::size_t, std::uint64_t lifetime);
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

    // Delivers a frame to a daemon unless it is lost; `receive` runs on the receiver after its header was seen.
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
    cut_rule m_isCut;
    std::vector<virtual_daemon> m_daemons;
    std::map<daemon_id, std::size_t> m_indices;
    std::map<availability_zone_id, std::vector<daemon_id>> m_zoneEntries;
    std::map<config_version, push_state> m_pushes;
    std::map<availability_zone_id, config_version> m_accepted;
    std::map<config_version, std::string> m_history;
    std::function<void()> m_whenAccepted;
    std::map<std::size_t, std::pair<time_point, std::uint64_t>> m_answerWindows;
    std::uint64_t m_peakAnswers = 0;
    std::uint64_t m_versionFalls = 0;
    std::uint64_t m_faults = 0;
    std::uint64_t m_changes = 0;
};

}
