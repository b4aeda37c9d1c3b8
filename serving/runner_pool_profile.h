#pragma once

#include "serving/engine_profile.h"
#include "state/ids.h"

#include <cstdint>
#include <optional>

namespace sardinelb {

// Configured properties of the runners of one pool.
struct runner_pool_profile {
    pool_id pool;
    // Connections that one runner accepts from all clients together. 0 means no known limit.
    std::uint32_t maxConnections = 0;
    // Set for pools of model runners.
    std::optional<engine_profile> engine;
};

}
