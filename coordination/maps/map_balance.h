#pragma once

#include <vector>

namespace sardinelb {

struct expert_map;

// Time that each rank needs for its load under the map, by rank, relative to the time that all would need if the load
// were divided by speed. `popularity` is by expert and `speeds` by rank; both are relative.
std::vector<double> rankTimes(
    const expert_map&, const std::vector<double>& popularity, const std::vector<double>& speeds);

// The largest of the rank times; 1 is ideal.
double mapBalance(const expert_map&, const std::vector<double>& popularity, const std::vector<double>& speeds);

// The largest of the rank times after subtracting the part that noise may explain. `noise` is the assumed error of the
// popularity of each expert, as a part of it; errors of different experts are independent, so a rank with many experts
// is less exposed. Infinite noise explains everything.
double mapBalanceBeyondNoise(
    const expert_map&, const std::vector<double>& popularity, const std::vector<double>& speeds, double noise);

}
