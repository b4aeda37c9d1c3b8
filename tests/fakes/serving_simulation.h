#pragma once

#include "coordination/messages/peer_message.h"
#include "state/ids.h"
#include "state/runner.h"
#include "state/time.h"
#include "tests/fakes/agent_host.h"
#include "tests/fakes/caller_record.h"
#include "tests/fakes/entry_host.h"
#include "tests/fakes/event_queue.h"
#include "tests/fakes/fake_network.h"
#include "tests/fakes/request_kind.h"
#include "tests/fakes/request_step.h"
#include "tests/fakes/simulation_settings.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sardinelb::fakes {

// Simulation of the entries, agents, runners and callers of one pool in virtual time. Deterministic for a given seed.
class serving_simulation {
public:
    // Called when the watched request reaches a step for the first time.
    using step_hook = std::function<void(const request_id&, request_step)>;

    explicit serving_simulation(const simulation_settings&, step_hook = nullptr);
    serving_simulation(const serving_simulation&) = delete;
    serving_simulation& operator=(const serving_simulation&) = delete;

    event_queue& events() { return m_events; }
    fake_network& network() { return m_network; }
    entry_host& entry(std::size_t index) { return *m_entries.at(index); }
    agent_host& agent(std::size_t index) { return *m_agents.at(index); }
    std::size_t entries() const { return m_entries.size(); }
    std::size_t agents() const { return m_agents.size(); }
    const std::map<request_id, caller_record>& callers() const { return m_callers; }

    // Sends a request of a new caller to the entry. The steps of a watched request are reported, and its answer is
    // long.
    request_id call(std::size_t entry, request_kind, bool isWatched = false);
    void disconnectCaller(const request_id&);

    // Agent of the last submit of the request, or nothing before the first submit.
    std::optional<std::size_t> agentOf(const request_id&) const;

    void killEntry(std::size_t, duration restartDelay);
    void killAgent(std::size_t, duration restartDelay);
    void pauseEntry(std::size_t, duration, process_host::wake_order);
    void pauseAgent(std::size_t, duration, process_host::wake_order);
    void stopEntry(std::size_t, duration restartDelay);
    void stopAgent(std::size_t, duration restartDelay);
    // Drains the runner as an operator does; the change reaches its agent and later the entries.
    void drain(std::size_t);
    void serveAgain(std::size_t);
    // Lets the runner refuse connections for the given time; its agent notices after three failed probes.
    void refuseConnections(std::size_t, duration);

    // Number of executions of a request on all runners.
    int executions(const request_id&) const;

    // Violations of the invariants after all activity has ended. Set `onlyPlannedOperations` when only planned
    // operations were injected; then every request must have a complete answer.
    std::vector<std::string> violations(bool onlyPlannedOperations) const;

private:
    entry_host::hooks entryHooks();
    agent_host::hooks agentHooks();
    void addEntry(std::size_t);
    void addAgent(std::size_t);
    std::size_t indexOf(const daemon_id& agent) const;
    void publishRunners();
    void endEntry(std::size_t, bool deliversSent, duration restartDelay);
    void endAgent(std::size_t, bool deliversSent, duration restartDelay);
    void reportStep(const request_id&, request_step);
    void onSent(const peer_message&);
    void onPart(const answer_part_action&);
    void onEnd(const answer_end_action&);
    void onError(const answer_error_action&);
    std::string violationOf(const caller_record&, bool onlyPlannedOperations) const;

    simulation_settings m_settings;
    step_hook m_onStep;
    event_queue m_events;
    fake_network m_network;
    std::vector<std::unique_ptr<entry_host>> m_entries;
    std::vector<std::unique_ptr<agent_host>> m_agents;
    std::vector<bool> m_entryStopping;
    // When each runner was drained; nothing while it serves.
    std::vector<std::optional<time_point>> m_drainedAt;
    std::map<request_id, caller_record> m_callers;
    std::map<request_id, std::size_t> m_agentOf;
    request_id m_watched;
    // One bit per step.
    unsigned m_stepsSeen = 0;
    std::uint64_t m_calls = 0;
};

}
