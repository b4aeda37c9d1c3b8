#pragma once

#include "state/configuration_change.h"
#include "state/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sardinelb {

// Configuration changes that one daemon gives to another. Only a daemon that is ready sends it.
struct changes_message {
    // Some consecutive entities of a whole configuration. The order of the entities of one version is the same on
    // every daemon, so that the parts may come from several.
    struct snapshot_part {
        config_version version;
        // Positions of the first entity and after the last one, and number of all entities.
        std::uint32_t first = 0;
        std::uint32_t next = 0;
        std::uint32_t total = 0;
        // JSON array (sliceToText).
        std::string text;
    };

    // Nonce of the request; 0 when there was none.
    std::uint64_t nonce = 0;
    // Version that the sender has.
    config_version version;
    // Changes in order. Empty when the sender has nothing newer, is busy or no longer knows the changes.
    std::vector<configuration_change> changes;
    std::optional<snapshot_part> snapshot;
};

}
