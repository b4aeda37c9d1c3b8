#pragma once

#include "state/time.h"

#include <cstdint>

namespace sardinelb {

// One team in weighted fair queueing. Tags are in tokens per weight.
struct team_share {
    double weight = 1;
    // Advances with the team's work that has been started.
    double tag = 0;
    // Advances with the team's demand, refused attempts included.
    double demandTag = 0;
    time_point askedAt;
    // Attempts that wait, run or are paused, and those that have a slot.
    std::uint32_t attempts = 0;
    std::uint32_t slots = 0;
    // Cost of the team's attempts that the walk of this number has passed.
    std::uint64_t walk = 0;
    double walkedCost = 0;
};

}
