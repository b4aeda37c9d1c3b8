#pragma once

#include "coordination/spread/config_spread.h"
#include "state/ids.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace sardinelb {

// One daemon of a simulated fleet.
struct virtual_daemon {
    daemon_id id;
    availability_zone_id zone;
    bool isEntry = false;
    // Indices of the daemons with which it exchanges frames regularly.
    std::vector<std::size_t> links;
    // Null while the daemon is not running.
    std::unique_ptr<config_spread> spread;
    bool isIsolated = false;
    // Increases with every start; frames to an earlier process are lost.
    std::uint64_t startCount = 0;
    // Lowest version that the daemon may serve: the version accepted in its zone when it started, or the highest that
    // it has served since.
    config_version minVersion;
    // Bytes sent and received for the configuration.
    std::uint64_t bytes = 0;
};

}
