#pragma once

#include "bench/model/batching_runner.h"
#include "bench/model/event_loop.h"
#include "bench/model/fleet_shape.h"
#include "bench/model/model_request.h"
#include "bench/model/policy.h"
#include "coordination/queueing/cost_estimator.h"
#include "coordination/routing/load_report.h"
#include "coordination/routing/runner_view.h"
#include "state/time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace sardinelb::bench {

// Entries, agents and engines in virtual time, under one policy. Entries route on load reports that lag: agents send
// one with each admission and finish, to the entry concerned, and one to all connected entries periodically. A caller
// whose answer is late gives up, and the entry cancels the attempt.
class fleet_model {
public:
    // Runs the requests, which are sorted by arrival, and records in them what became of them.
    fleet_model(const fleet_shape&, const policy&, std::vector<model_request>&, std::uint64_t seed);
    ~fleet_model();
    fleet_model(const fleet_model&) = delete;
    fleet_model& operator=(const fleet_model&) = delete;

    void run(time_point end);

private:
    struct entry_state {
        router_hooks router;
        cost_estimator estimator;
        double retryBudget = 0;
    };

    struct agent_state {
        runner_id id;
        queue_hooks queue;
        std::unique_ptr<batching_runner> engine;
        // Running requests, and the tokens of requests that run or are paused.
        std::vector<std::size_t> running;
        std::unordered_map<std::size_t, std::int64_t> generated;
        std::optional<time_point> pollAt;
        // Entries that are connected to the agent.
        std::vector<std::size_t> listeners;
    };

    // The attempt that a request has in flight.
    struct flight {
        std::uint32_t number = 0;
        std::size_t agent = 0;
        request_cost cost;
        std::vector<runner_id> tried;
        bool ended = false;
    };

    void addListeners(agent_state&);
    void scheduleNextArrival();
    void arrive(std::size_t request);
    void send(std::size_t request);
    void submit(std::size_t request, std::uint32_t number);
    void refuse(std::size_t request, agent_state&);
    void giveUp(std::size_t request);
    void cancelAt(std::size_t agent, std::size_t request);
    void poll(std::size_t agent);
    void apply(std::size_t agent, const queue_action&);
    void startOn(agent_state&, std::size_t request);
    void takeProgress(agent_state&, std::size_t request);
    void tick(std::size_t agent);
    void firstToken(std::size_t agent, std::size_t request);
    void lastToken(std::size_t agent, std::size_t request);
    void toEntry(std::size_t request, std::function<void(entry_state&, const attempt_id&)>, const load_report&);
    load_report reportOf(const agent_state&) const;
    attempt_id attemptOf(std::size_t request) const;
    queued_request queuedFor(std::size_t request) const;
    static std::size_t requestOf(const attempt_id&);

    fleet_shape m_shape;
    policy m_policy;
    std::vector<model_request>& m_requests;
    event_loop m_loop;
    std::vector<entry_state> m_entries;
    std::vector<agent_state> m_agents;
    std::vector<flight> m_flights;
    std::size_t m_nextArrival = 0;
    time_point m_end;
};

}
