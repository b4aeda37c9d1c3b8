#pragma once

#include "coordination/limits/limit_amount.h"

#include <cstddef>
#include <cstdint>

namespace sardinelb {

struct derived_limits;

// Rate per second and burst of a team's limits, or of one shard of them.
struct limit_share {
    limit_amount rate;
    limit_amount burst;
};

// The complete limits of a team.
limit_share wholeShare(const derived_limits&);

// Number of shards of a team's limits in a fleet with this many live daemons. It changes only when the fleet size
// crosses a power of two, so the loss of a single daemon rarely changes the sharding of large teams. Fleets of less
// than 16 daemons do not split limits.
std::uint32_t shardCount(const derived_limits&, std::size_t daemons);

// Rate and burst of one shard of a team's limits.
limit_share shareOfShard(const derived_limits&, std::size_t daemons);

}
