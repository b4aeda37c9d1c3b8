#pragma once

#include <cstdint>

namespace sardinelb {

// Parameters of the planning of expert maps. Balance is the time of the busiest rank over the mean, 1 at best.
struct map_planner_settings {
    // Experts that a rank holds under one map.
    std::uint32_t slotsPerRank = 2;
    // Experts that a rank can load while it still uses the map before, which bounds the moves to one rank in one plan.
    std::uint32_t stagingSlotsPerRank = 1;
    // A map is kept as long as its balance is not above this. The target is 1.05; the rest is for the change that
    // passes until the next map is in force.
    double replanThreshold = 1.02;
    // So many times the noise of the popularity is taken for chance. The difference between two estimates, that from which
    // the map was planned and the present one, has 1.4 times the noise of one, and the busiest of some hundred ranks is
    // over three times that above the mean.
    double noiseFactor = 5;
    // The same for the settled popularity, which has hardly any noise of its own.
    double longTermNoiseFactor = 3.5;
    // The same once the settled popularity shows that the map is out of date.
    double driftNoiseFactor = 0.5;
    // No more weights are moved once the balance is at most this.
    double targetBalance = 1.01;
    // A new map has to be better by this.
    double minimumGain = 0.01;
};

}
