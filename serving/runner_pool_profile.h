#pragma once

#include "serving/engine_profile.h"
#include "state/ids.h"
#include "state/time.h"

#include <cstdint>
#include <optional>

namespace sardinelb {

// Configured properties of the runners of one pool.
struct runner_pool_profile {
    pool_id pool;
    // Connections that one runner accepts from all clients together. 0 means no known limit.
    std::uint32_t maxConnections = 0;
    // How long a runner is cold after its start, and the requests a second that it takes from all entries meanwhile. 0 if its
    // runners need no warm-up.
    duration coldTime {};
    double coldRequestsPerSecond = 0;
    // Set for pools of model runners.
    std::optional<engine_profile> engine;
};

}
