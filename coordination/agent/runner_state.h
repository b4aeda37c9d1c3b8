#pragma once

#include "state/ids.h"

#include <set>
#include <string>

namespace sardinelb {

// State that a runner reports.
struct runner_state {
    std::set<std::string> models;
    std::set<std::string> adapters;
    std::set<std::string> versions;
    // Models, adapters and versions that are being loaded.
    std::set<std::string> loading;
    std::string role;
    // Highest fencing number that the runner has seen; 0 when it does not record one.
    fencing_number highestNumber;
};

}
