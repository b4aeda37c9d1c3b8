#pragma once

#include "expert_map/expert_placement.h"
#include "state/ids.h"
#include "state/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace sardinelb {

// What one rank of a group says of its expert map.
struct rank_status {
    rank_id rank;
    // Changes when the group forms anew; all ranks then use map 0 and hold nothing else.
    std::uint64_t epoch = 0;
    // The last pass that began.
    step_number step;
    map_version map;
    // Map whose experts are all copied.
    std::optional<map_version> prepared;
    // Map that the rank switches to.
    std::optional<map_version> armed;
    // Pass that this rank keeps from beginning.
    std::optional<step_number> held;
    bool isOpen = true;
    double pace = 1;
    // Experts of the map in use, by set.
    std::vector<std::vector<expert_number>> experts;
    time_point receivedAt;
};

}
