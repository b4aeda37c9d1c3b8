#pragma once

#include "expert_map/placement_delta.h"

#include <cstdint>
#include <span>
#include <vector>

namespace sardinelb {

// Encodes the changes in few bytes, since each rank of a group gets all of them. `ranks` is the size of the group.
std::vector<std::uint8_t> encodeDelta(const placement_delta&, std::uint16_t ranks);

// Stops at the first change that is not complete. The result must be checked against the placement, as applyDelta() does.
placement_delta decodeDelta(std::span<const std::uint8_t>, std::uint16_t ranks);

}
