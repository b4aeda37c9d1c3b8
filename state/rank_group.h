#pragma once

#include "state/ids.h"

#include <cstdint>
#include <vector>

namespace sardinelb {

// Ranks that advance in lockstep on one expert map.
struct rank_group {
    group_id id;
    pool_id pool;
    // Runner of each rank, by rank number. A runner may hold several ranks.
    std::vector<runner_id> ranks;
    std::uint32_t expertCount = 0;
    config_version changedAt;
};

}
