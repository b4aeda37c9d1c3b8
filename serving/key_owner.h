#pragma once

#include "state/ids.h"

#include <cstdint>
#include <optional>

namespace sardinelb {

// The team that owns an API key.
struct key_owner {
    team_id team;
    // Overrides the priority of the route if set.
    std::optional<std::int32_t> priority;
};

}
