#pragma once

#include "state/ids.h"
#include "state/units.h"

#include <cstdint>

namespace sardinelb {

// Hands the remaining content of a bucket to the new owner of a shard of a team's limits. The sender makes no further
// grants for the shard.
struct limit_handover_message {
    team_id team;
    std::uint32_t shard = 0;
    // Number of shards into which the sender splits the limits.
    std::uint32_t parts = 1;
    token_count tokens;
    double requests = 0;
};

}
