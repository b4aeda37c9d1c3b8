#pragma once

#include "coordination/leases/runner_order.h"

#include <cstdint>
#include <optional>

namespace sardinelb {

// Asks for one call to the runner beside the agent. One runner_answer with this id is expected.
struct runner_call {
    std::uint64_t id = 0;
    // The order to give; nothing asks for the runner's state.
    std::optional<runner_order> order;
};

}
