#pragma once

#include "coordination/attempt_id.h"
#include "coordination/coordination_error.h"
#include "coordination/execution_outcome.h"
#include "coordination/routing/load_report.h"
#include "coordination/routing/route_decision.h"
#include "coordination/routing/route_request.h"
#include "coordination/routing/router_settings.h"
#include "coordination/routing/runner_view.h"
#include "state/time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace sardinelb {

// Chooses a runner for each attempt of one entry, from its own in-flight work and from load reports that lag.
// Pure state machine; not safe for use from several threads.
class router {
public:
    router(router_settings, std::uint64_t seed);
    ~router();
    router(router&&) noexcept;
    router& operator=(router&&) noexcept;

    // Replaces the known runners. State of runners that remain is kept.
    void setRunners(const std::vector<runner_view>&);

    // Runners of the pool that this entry should be connected to, in order of preference.
    std::vector<runner_id> subset(const pool_id&) const;

    void onLoadReport(const load_report&, time_point now);

    // Chooses among accepting, connected runners that are not excluded. Error: NoRunner, naming the pool.
    coordination_result<route_decision> choose(const route_request&, time_point now);

    // Records that the attempt was sent to the runner.
    void onAttemptStarted(const attempt_id&, const runner_id&, const request_cost&, time_point now);

    // Records the first part of an answer; gives the runner's time to first token.
    void onFirstChunk(const attempt_id&, time_point now);

    // Records the end of an attempt. `refused` is true when the agent refused it.
    void onAttemptFinished(const attempt_id&, execution_outcome, bool refused, time_point now);

    // Attempts that were started and have not been finished.
    std::size_t inFlight() const;

    // Notes that the runner reported the prefix as cached or evicted. Such events may be late, missing or wrong.
    void cacheEvent(const runner_id&, std::uint64_t prefixDigest, bool cached, time_point now);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

}
