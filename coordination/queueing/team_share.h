#pragma once

#include "state/time.h"

#include <cstdint>

namespace sardinelb {

// State of one team in weighted fair queueing. Tags are in tokens per unit of weight.
struct team_share {
    double weight = 1;
    // Virtual finish time of the team's started work.
    double finishTag = 0;
    // Virtual finish time of the team's recent demand, including refused attempts.
    double demandTag = 0;
    time_point lastArrival;
    // Attempts that are waiting, running or paused, and the number of slots that they occupy.
    std::uint32_t attempts = 0;
    std::uint32_t slots = 0;
    // Number of the last pass over waiting attempts, and the cost of the team's attempts visited in it.
    std::uint64_t tagPass = 0;
    double tagPassCost = 0;
};

}
