#pragma once

#include "coordination/maps/expert_map.h"
#include "state/ids.h"

#include <memory>

namespace sardinelb {

// Content of the table row `group/<g>/proposal/<v>`, which is written once and never modified.
struct map_proposal {
    std::shared_ptr<const expert_map> map;
    // Step from which all ranks use the map if it is committed.
    step_number firstStep;
    // Coordinator that wrote the row, and the fencing number that it held then.
    daemon_id coordinator;
    fencing_number fencing;
};

}
