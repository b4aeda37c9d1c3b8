#pragma once

#include "expert_map/expert_placement.h"
#include "state/ids.h"

#include <cstdint>
#include <memory>

namespace sardinelb {

// An order to one rank as part of a map switch.
struct map_order {
    enum class kind {
        // Copy the experts that a new map adds to the rank.
        Prepare,
        // Switch to the prepared map when the pass `step` begins.
        Arm,
        // Cancel the Arm order for this version.
        Disarm,
        // Do not begin the pass `step` until it is released.
        Hold,
        // Let the held pass begin.
        Release,
        // For the agent beside the holding rank: never send an arm order for the pass `step` to this rank. Refused if one
        // has been sent, and unanswered if an earlier process may have sent one. No runner gets this order.
        Seal,
    };

    kind action = kind::Prepare;
    rank_id rank;
    std::uint64_t epoch = 0;
    map_version version;
    step_number step;
    // Set only for Prepare.
    std::shared_ptr<const expert_placement> placement;
    // The map in use, to which a prepare order may refer. Set only for Prepare.
    std::shared_ptr<const expert_placement> basePlacement = nullptr;
    map_version base {};
    // Whether the agent beside the holding rank gives the order to the runner, as for Seal.
    bool isWitnessed = false;
};

}
