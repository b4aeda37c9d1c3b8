#pragma once

#include "coordination/maps/map_outcome.h"
#include "state/ids.h"

namespace sardinelb {

// Content of the table row `group/<g>/decision/<v>`, which is written once and never modified.
struct map_decision {
    map_version version;
    map_outcome outcome = map_outcome::Abort;
    // Step from which all ranks use the map if it was committed.
    step_number firstStep;
};

}
