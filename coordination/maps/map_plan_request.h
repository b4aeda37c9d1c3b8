#pragma once

#include "coordination/maps/expert_map.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace sardinelb {

// Input for planning a new expert map.
struct map_plan_request {
    // Fraction of the traffic by expert.
    std::vector<double> popularity;
    // The same over a longer time, to distinguish drift from noise; empty if unknown.
    std::vector<double> longTermPopularity;
    // Relative standard error of the popularity; infinite if unknown.
    double popularityNoise = 0;
    // Relative speed by rank; 1 is typical.
    std::vector<double> speeds;
    // Map in force; null if there is none yet.
    std::shared_ptr<const expert_map> current;
    // Maximum number of replicas moved relative to the current map. Not applied without a current map.
    std::uint32_t moveBudget = 0;
};

}
