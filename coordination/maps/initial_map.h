#pragma once

#include <cstdint>
#include <vector>

namespace sardinelb {

struct expert_map;

// Plans a map from scratch, without a current map. Experts whose load is below the mean load of a rank are placed
// first, with one replica each, so that one slot of every rank stays free if possible. The larger experts then fill up
// the ranks one by one, split over several replicas, until every rank has the mean load. Spare replicas fill the
// remaining slots.
//
// `popularity` is indexed by expert and `speeds` by rank; both are relative and above 0. There must be a slot for every
// expert.
expert_map initialMap(
    const std::vector<double>& popularity, const std::vector<double>& speeds, std::uint32_t slotsPerRank);

}
