#pragma once

#include "expert_map/map_order.h"
#include "expert_map/placement_delta.h"
#include "state/ids.h"

#include <cstdint>
#include <optional>

namespace sardinelb {

// From a coordinator to the agent of a rank, which gives the order to its runner: an order to a large group would not fit
// through the coordinator's link in time if each rank got the whole map from there.
struct delegated_order_message {
    // Identifies the answer. Unique among the orders of one coordinator.
    std::uint64_t id = 0;
    group_id group;
    // Without placement; that of a prepare order follows from `delta`.
    map_order order;
    // The map that `delta` refers to. Without it, `delta` refers to the round-robin placement of the size below.
    std::optional<map_version> base;
    std::uint16_t sets = 0;
    std::uint16_t experts = 0;
    std::uint16_t ranks = 0;
    placement_delta delta;
};

}
