#pragma once

#include "coordination/maps/expert_map.h"

#include <cstdint>

namespace sardinelb {

// A planned expert map.
struct map_plan {
    // Version 0; the coordinator assigns one.
    expert_map map;
    // Replicas on ranks that do not hold them under the current map.
    std::uint32_t moves = 0;
    // Expected balance of the current map, 0 when there is none, and of the planned one.
    double balanceBefore = 0;
    double balanceAfter = 0;
};

}
