#pragma once

#include <vector>

namespace sardinelb {

struct expert_map;

// Returns the time that each rank needs for its load under the map, relative to the time that every rank would need if
// the load were divided in proportion to speed. `popularity` is indexed by expert and `speeds` by rank; both are
// relative.
std::vector<double> rankTimes(
    const expert_map&, const std::vector<double>& popularity, const std::vector<double>& speeds);

// Returns the largest of the rank times; 1 is ideal.
double mapBalance(const expert_map&, const std::vector<double>& popularity, const std::vector<double>& speeds);

// Returns the largest of the rank times after the part that noise may explain is subtracted from each. `noise` is the
// assumed relative error of each expert's popularity. The errors of different experts are taken as independent, so they
// partly cancel on a rank with many experts. With infinite noise the result is 0.
double mapBalanceBeyondNoise(
    const expert_map&, const std::vector<double>& popularity, const std::vector<double>& speeds, double noise);

}
