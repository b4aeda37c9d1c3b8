#pragma once

#include "coordination/maps/expert_map.h"
#include "state/ids.h"

#include <memory>

namespace sardinelb {

// A row `group/<g>/proposal/<v>`. It never changes once it is written.
struct map_proposal {
    std::shared_ptr<const expert_map> map;
    // Step from which all ranks use the map if it is committed.
    step_number firstStep;
    // Coordinator that wrote the row, and its fencing number at that time.
    daemon_id coordinator;
    fencing_number fencing;
};

}
