#pragma once

#include "coordination/agent/runner_state.h"
#include "coordination/membership/member_state.h"
#include "state/ids.h"
#include "state/time.h"

#include <optional>

namespace sardinelb {

// What is known about one configured runner at one moment.
struct runner_observation {
    runner_id runner;
    // State of the agent beside it; nothing when membership does not know it.
    std::optional<member_state> member;
    // Last report of the agent; nothing before the first.
    std::optional<runner_state> report;
    time_point reportedAt;
    // Whether an order to it is pending.
    bool isBusy = false;
};

}
