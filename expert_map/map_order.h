#pragma once

#include "expert_map/expert_placement.h"
#include "state/ids.h"

#include <cstdint>
#include <memory>

namespace sardinelb {

// An order to one rank.
struct map_order {
    enum class kind {
        // Copy the experts of a new map.
        Prepare,
        // Switch to the prepared map when a pass begins.
        Arm,
        // Do not switch.
        Disarm,
        // Do not begin a pass until it is released.
        Hold,
        Release,
    };

    kind action = kind::Prepare;
    rank_id rank;
    std::uint64_t epoch = 0;
    map_version version;
    step_number step;
    // Set for Prepare.
    std::shared_ptr<const expert_placement> placement;
};

}
