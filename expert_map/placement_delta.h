#pragma once

#include "expert_map/expert_placement.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace sardinelb {

// The difference between two placements of the same size. Consecutive maps of a group differ on few ranks, so the
// difference is much smaller than the placement of a large group.
struct placement_delta {
    // Experts that one rank holds of one set in the new placement.
    struct change {
        std::uint16_t set = 0;
        std::uint16_t rank = 0;
        std::vector<expert_number> experts;

        friend bool operator==(const change&, const change&) = default;
    };

    std::vector<change> changes;
};

// Both placements must have the same number of sets and ranks.
placement_delta differenceOf(const expert_placement& from, const expert_placement& to);

// Returns nothing if a change names a set or a rank that the placement does not have.
std::optional<expert_placement> applyDelta(expert_placement, const placement_delta&);

// Places the experts of each set on the ranks in turn.
expert_placement roundRobinPlacement(std::size_t sets, std::size_t experts, std::size_t ranks);

}
