#pragma once

#include "state/configuration_change.h"
#include "state/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sardinelb {

// Configuration changes sent from one daemon to another. Only a daemon that is ready sends them.
struct changes_message {
    // Consecutive entities of a complete configuration. Every daemon orders the entities of a version in the same way,
    // so the parts of a snapshot may come from different daemons.
    struct snapshot_part {
        config_version version;
        // Position of the first entity, position after the last entity, and number of entities in the configuration.
        std::uint32_t first = 0;
        std::uint32_t next = 0;
        std::uint32_t total = 0;
        // JSON array (sliceToText).
        std::string text;
    };

    // Nonce of the request; 0 for a message without a request.
    std::uint64_t nonce = 0;
    // Configuration version of the sender.
    config_version version;
    // Changes in order. Empty when the sender has nothing newer, is busy, or no longer stores the changes.
    std::vector<configuration_change> changes;
    std::optional<snapshot_part> snapshot;
};

}
