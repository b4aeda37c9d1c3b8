#pragma once

#include "state/ids.h"

#include <cstdint>
#include <vector>

namespace sardinelb {

// Index of an expert within its set.
using expert_number = std::uint16_t;

// Which experts each rank of a group holds. The traffic of an expert is divided evenly among the ranks that hold a copy.
struct expert_placement {
    // Expert numbers in ascending order, by set and rank.
    std::vector<std::vector<std::vector<expert_number>>> sets;

    friend bool operator==(const expert_placement&, const expert_placement&) = default;
};

// The experts of one rank by set. Empty if the placement has no such rank.
std::vector<std::vector<expert_number>> expertsOf(const expert_placement&, rank_id);

}
