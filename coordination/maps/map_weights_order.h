#pragma once

#include "coordination/maps/expert_map.h"
#include "state/ids.h"

#include <memory>

namespace sardinelb {

// Tells the agent to load or release the experts that a map places on its rank. Releasing a map keeps experts that
// another loaded map also places there.
struct map_weights_order {
    enum class kind {
        // Answered by map_switch_rank::onWeightsLoaded().
        Load,
        // Not answered. Also cancels a load in progress.
        Release,
    };

    kind order = kind::Load;
    map_version version;
    // Null for Release.
    std::shared_ptr<const expert_map> map;
};

}
