#pragma once

#include <cstdint>
#include <vector>

namespace sardinelb {

struct expert_map;

// Returns a map that is planned without regard to any map before. Experts that fit into one rank get one replica and
// leave a slot free on each rank where that is possible. The larger ones then fill up the ranks one by one, so that each
// rank ends up with the mean load. Slots that are left over get replicas in reserve.
//
// `popularity` is by expert and `speeds` by rank; both are relative and above 0. The experts fit into the slots.
expert_map initialMap(
    const std::vector<double>& popularity, const std::vector<double>& speeds, std::uint32_t slotsPerRank);

}
