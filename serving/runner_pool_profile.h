#pragma once

#include "serving/engine_profile.h"
#include "state/ids.h"

#include <cstdint>
#include <optional>

namespace sardinelb {

// What the configuration says of the runners of one pool.
struct runner_pool_profile {
    pool_id pool;
    // Connections that one runner accepts from all callers together. 0 means that no limit is known.
    std::uint32_t maxConnections = 0;
    // Set for pools of model runners.
    std::optional<engine_profile> engine;
};

}
