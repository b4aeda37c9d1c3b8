#pragma once

#include "coordination/queueing/queue_settings.h"
#include "state/ids.h"

namespace sardinelb {

// Fixed parameters of an agent.
struct agent_settings {
    runner_id runner;
    incarnation ownIncarnation;
    queue_settings queue;
};

}
