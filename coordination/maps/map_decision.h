#pragma once

#include "coordination/maps/map_outcome.h"
#include "state/ids.h"

namespace sardinelb {

// A row `group/<g>/decision/<v>`. It never changes once it is written.
struct map_decision {
    map_version version;
    map_outcome outcome = map_outcome::Abort;
    // Step from which all ranks use the map after a commit.
    step_number firstStep;
};

}
