#pragma once

#include <cstdint>

namespace sardinelb {

// Parameters of the expert map planner. Balance is the time of the busiest rank over the mean; 1 is ideal.
struct map_planner_settings {
    // Number of experts that a rank holds under one map.
    std::uint32_t slotsPerRank = 2;
    // Number of experts that a rank can load while it still uses the current map. Bounds the moves to one rank per
    // plan.
    std::uint32_t stagingSlotsPerRank = 1;
    // A new map is planned when the balance exceeds this. The requirement is 1.05; the margin covers the drift until
    // the next map is in force.
    double replanThreshold = 1.02;
    // Imbalance up to this multiple of the popularity noise is attributed to chance. The difference between the
    // estimate that the map was planned from and the present one has 1.4 times the noise of a single estimate, and the
    // busiest of some hundred ranks deviates from the mean by more than three times that.
    double noiseFactor = 5;
    // The same for the long-term popularity, whose own noise is negligible.
    double longTermNoiseFactor = 3.5;
    // The same once the long-term popularity shows that the map is out of date.
    double driftNoiseFactor = 0.5;
    // The search for better placements stops at this balance.
    double targetBalance = 1.01;
    // Minimum improvement of the balance that justifies a new map.
    double minimumGain = 0.01;
};

}
