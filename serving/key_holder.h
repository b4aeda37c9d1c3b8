#pragma once

#include "state/ids.h"

#include <cstdint>
#include <optional>

namespace sardinelb {

// The team that an API key belongs to.
struct key_holder {
    team_id team;
    // Overrides the priority of the route if set.
    std::optional<std::int32_t> priority;
};

}
