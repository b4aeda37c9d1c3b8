#pragma once

#include "state/ids.h"

#include <string>

namespace sardinelb {

// State that the operators want a runner to be in.
enum class runner_target {
    Serving,
    // Finishes its current work and accepts no new work.
    Draining,
    // Like Draining, and the runner may be stopped once it is empty.
    Stopped,
};

// A back end and the address of its agent.
struct runner {
    runner_id id;
    pool_id pool;
    instance_id instance;
    availability_zone_id zone;
    // IP address and port on which the agent accepts frames, as in "127.0.0.1:7101".
    std::string agentAddress;
    runner_target target = runner_target::Serving;
    // Whether the runner itself rejects orders with an old fencing number.
    bool checksFencing = false;
    config_version changedAt;
};

}
