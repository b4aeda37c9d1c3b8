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

// Chooses a runner for each attempt of one entry, based on the entry's own in-flight work and on delayed load reports.
// Pure state machine; not thread-safe.
class router {
public:
    router(router_settings, std::uint64_t seed);
    ~router();
    router(router&&) noexcept;
    router& operator=(router&&) noexcept;

    // Replaces the known runners. Keeps the state of runners that remain.
    void setRunners(const std::vector<runner_view>&);

    // Runners of the pool to which this entry should be connected, in order of preference.
    std::vector<runner_id> subset(const pool_id&) const;

    void onLoadReport(const load_report&, time_point now);

    // Chooses among the accepting, connected runners that are not excluded. Error: NoRunner, with the pool as subject.
    coordination_result<route_decision> choose(const route_request&, time_point now);

    // Records that the attempt was sent to the runner.
    void onAttemptStarted(const attempt_id&, const runner_id&, const request_cost&, time_point now);

    // Records the first chunk of an answer, which yields the runner's time to first token.
    void onFirstChunk(const attempt_id&, time_point now);

    // Records the end of an attempt. `refused` is true if the agent refused it.
    void onAttemptFinished(const attempt_id&, execution_outcome, bool refused, time_point now);

    // Number of attempts that were started and have not finished.
    std::size_t inFlight() const;

    // Records that the runner reported the prefix as cached or evicted. Such events may be late, missing or wrong.
    void onCacheEvent(const runner_id&, std::uint64_t prefixDigest, bool cached, time_point now);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

}
