#pragma once

#include "state/entity_update.h"
#include "state/ids.h"

#include <string>
#include <vector>

namespace sardinelb {

// One atomic change of the configuration.
struct configuration_change {
    // Position in the change log; 0 until the change is committed.
    config_version version;
    std::string author;
    // Unique per change. After an unanswered write, it tells whether the row holds the writer's own change.
    std::string token;
    std::vector<entity_update> updates;

    friend bool operator==(const configuration_change&, const configuration_change&) = default;
};

}
