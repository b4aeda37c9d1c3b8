#pragma once

#include "coordination/limits/limit_amount.h"

#include <cstddef>
#include <cstdint>

namespace sardinelb {

struct derived_limits;

// Rate per second and burst that one limit owner hands out.
struct limit_share {
    limit_amount rate;
    limit_amount burst;
};

// All of a team's limits.
limit_share wholeShare(const derived_limits&);

// Number of parts into which a team's limits are split in a fleet with so many live daemons. It changes only when the
// fleet grows or shrinks past a power of two, so that a single death rarely moves the limits of large teams. Fleets
// below 16 daemons do not split them.
std::uint32_t shardCount(const derived_limits&, std::size_t daemons);

// What one part of a team's limits comes to.
limit_share shareOfShard(const derived_limits&, std::size_t daemons);

}
