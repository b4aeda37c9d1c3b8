#pragma once

#include "state/ids.h"
#include "state/units.h"

#include <cstdint>

namespace sardinelb {

// A limit owner that has lost a part of a team's limits to another daemon tells it what was left in its bucket. The
// sender grants nothing for the part any more.
struct limit_handover_message {
    team_id team;
    std::uint32_t shard = 0;
    // Number of parts into which the sender split the limits.
    std::uint32_t parts = 1;
    token_count tokens;
    double requests = 0;
};

}
