#pragma once

#include "coordination/agent/runner_state.h"
#include "coordination/membership/member_state.h"
#include "state/ids.h"
#include "state/time.h"

#include <optional>

namespace sardinelb {

// Snapshot of one configured runner, its agent and its pending order.
struct runner_observation {
    runner_id runner;
    // State of the runner's agent; empty if membership does not know it.
    std::optional<member_state> member;
    // Last report of the agent; empty before the first.
    std::optional<runner_state> report;
    time_point reportedAt;
    // Whether an order to the runner is pending.
    bool isBusy = false;
};

}
