#pragma once

#include "state/ids.h"
#include "state/time.h"

#include <cstdint>

namespace sardinelb {

// Load of a model runner, as read by the agent on its machine.
struct rank_load {
    runner_id runner;
    group_id group;
    rank_id rank;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    // Slowdown relative to a healthy runner; above 1 for a slow one.
    double pace = 1;
    // Start time of the runner's process in Unix ms. 0 if unknown.
    std::uint64_t startedAtMs = 0;
    // Whether the group is complete and accepts requests.
    bool isGroupOpen = true;
};

}
