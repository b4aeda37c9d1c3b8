#pragma once

#include "expert_map/expert_placement.h"
#include "state/ids.h"
#include "state/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace sardinelb {

// Expert-map state that one rank of a group reports.
struct rank_status {
    rank_id rank;
    // Increases when the group forms anew; all ranks then use map 0 and have nothing prepared, armed or held.
    std::uint64_t epoch = 0;
    // The last pass that began.
    step_number step;
    // Map in use.
    map_version map;
    // Map whose experts have all been copied.
    std::optional<map_version> prepared;
    // Map that the rank will switch to.
    std::optional<map_version> armed;
    // Pass at which it will switch. Unknown if the report is from a build that does not tell it.
    std::optional<step_number> armedStep;
    // Pass that this rank is holding back.
    std::optional<step_number> held;
    // Whether all ranks of the group are present.
    bool isOpen = true;
    // Slowdown factor: 1 at normal speed, more for a slow rank.
    double pace = 1;
    // Whether the agent beside the rank can be the witness of a switch (see map_switch). Not known from the runner itself.
    bool isWitness = false;
    // Experts that the rank holds in the map in use, by expert set.
    std::vector<std::vector<expert_number>> expertsBySet;
    time_point receivedAt;
};

}
