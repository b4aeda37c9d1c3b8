#pragma once

#include "state/ids.h"

#include <cstdint>
#include <optional>

namespace sardinelb {

// The team that holds an API key.
struct key_holder {
    team_id team;
    // Goes before the priority of the route where it is set.
    std::optional<std::int32_t> priority;
};

}
