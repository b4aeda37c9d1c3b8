#pragma once

#include "state/ids.h"
#include "state/time.h"

#include <cstdint>

namespace sardinelb {

// Load of a model runner as its agent reads it beside the runner.
struct rank_load {
    runner_id runner;
    group_id group;
    rank_id rank;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    // Over 1 for a slow runner.
    double pace = 1;
    // Start of the runner's process in Unix ms. 0 if it is not known.
    std::uint64_t startedAtMs = 0;
    // Whether all ranks of the group are there.
    bool isGroupOpen = true;
};

}
