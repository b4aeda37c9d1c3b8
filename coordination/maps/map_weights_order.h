#pragma once

#include "coordination/maps/expert_map.h"
#include "state/ids.h"

#include <memory>

namespace sardinelb {

// Asks the agent to load, or to give up, the experts that a map places on its rank. Experts that another loaded map
// places there too stay loaded.
struct map_weights_order {
    enum class kind {
        // Answered by map_switch_rank::onWeightsLoaded().
        Load,
        // Not answered. Also cancels a load under way.
        Release,
    };

    kind order = kind::Load;
    map_version version;
    // Load: the map. Release: empty.
    std::shared_ptr<const expert_map> map;
};

}
