#pragma once

#include "coordination/maps/expert_map.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace sardinelb {

// What a new expert map is planned from.
struct map_plan_request {
    // Part of the traffic by expert.
    std::vector<double> popularity;
    // The same over a longer time, to tell drift from noise; empty when it is not known.
    std::vector<double> longTermPopularity;
    // Standard error of the popularity, as a part of it; infinite when it is not known.
    double popularityNoise = 0;
    // Speed by rank; 1 is typical.
    std::vector<double> speeds;
    // Map in force; null when there is none yet.
    std::shared_ptr<const expert_map> current;
    // Bound on the weight moves from the current map. Without a current map there is no bound.
    std::uint32_t moveBudget = 0;
};

}
