#pragma once

#include "coordination/spread/config_spread.h"
#include "state/ids.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace sardinelb {

// One daemon of a virtual fleet.
struct virtual_daemon {
    daemon_id id;
    availability_zone_id zone;
    bool isEntry = false;
    // Indices of the daemons with which frames are exchanged regularly.
    std::vector<std::size_t> links;
    // Absent while the daemon is dead.
    std::unique_ptr<config_spread> spread;
    bool isIsolated = false;
    // Rises with every start; frames to an earlier process are lost.
    std::uint64_t lifetime = 0;
    // Lowest version that the daemon may serve: what was accepted in its zone when it started, or what it has
    // served since.
    config_version floor;
    // Bytes sent and received for the configuration.
    std::uint64_t bytes = 0;
};

}
