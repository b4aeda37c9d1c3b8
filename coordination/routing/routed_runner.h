#pragma once

#include "coordination/routing/runner_health.h"
#include "coordination/routing/runner_load.h"
#include "coordination/routing/runner_view.h"
#include "state/ids.h"
#include "state/time.h"

#include <optional>

namespace sardinelb {

// One runner with all that a router records about it.
struct routed_runner {
    runner_view view;
    // Incarnation of the agent to which the learned state belongs; it outlasts a lost connection.
    incarnation lastIncarnation;
    runner_load load;
    runner_health health;
    // Last time at which anything was heard from the agent; until then, the time of the first attempt.
    std::optional<time_point> lastHeard;
    // Whether the next attempt that is sent to the runner is its probe.
    bool probeIsNext = false;
};

// Whether the runner takes new work by configuration, membership and its own last word.
bool isOpen(const routed_runner&);

// Whether an attempt can be sent to the runner now.
bool canTakeWork(const routed_runner&);

// Whether attempts are in flight to the runner and nothing has been heard from it for long.
bool isSilent(const routed_runner&, time_point now);

}
