#pragma once

#include "coordination/routing/runner_health.h"
#include "coordination/routing/runner_load.h"
#include "coordination/routing/runner_view.h"
#include "state/ids.h"
#include "state/time.h"

#include <optional>

namespace sardinelb {

// State of one runner in a router.
struct routed_runner {
    runner_view view;
    // Incarnation of the agent to which the learned state belongs; kept when the connection is lost.
    incarnation lastIncarnation;
    runner_load load;
    runner_health health;
    // Time of the last message from the agent; before any, the time of the first attempt.
    std::optional<time_point> lastContact;
    // Whether the next attempt sent to the runner is its probe.
    bool isProbeNext = false;
};

// Whether the runner accepts new work according to configuration, membership and its last load report.
bool isAccepting(const routed_runner&);

// Whether the runner accepts new work and its agent is connected.
bool canTakeWork(const routed_runner&);

// Whether attempts are in flight to the runner and its agent has sent nothing for several seconds.
bool isUnresponsive(const routed_runner&, time_point now);

}
