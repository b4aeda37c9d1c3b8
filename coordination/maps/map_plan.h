#pragma once

#include "coordination/maps/expert_map.h"

#include <cstdint>

namespace sardinelb {

// A planned expert map.
struct map_plan {
    // Version 0; the coordinator assigns one.
    expert_map map;
    // Replicas on ranks that do not hold the expert under the current map, whose weights have to be loaded.
    std::uint32_t moves = 0;
    // Expected balance (time of the busiest rank over the mean) of the current map, 0 if there is none, and of the
    // plan.
    double balanceBefore = 0;
    double balanceAfter = 0;
};

}
