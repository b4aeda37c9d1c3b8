#pragma once

#include <cstdint>
#include <vector>

namespace sardinelb {

// Number of an expert in its set.
using expert_number = std::uint16_t;

// Which experts each rank of a group holds. The traffic of an expert is divided evenly among the ranks that hold it.
struct expert_placement {
    // By set and rank; the experts in ascending order.
    std::vector<std::vector<std::vector<expert_number>>> sets;

    friend bool operator==(const expert_placement&, const expert_placement&) = default;
};

}
