#pragma once

#include "coordination/leases/runner_order.h"

#include <cstdint>
#include <optional>

namespace sardinelb {

// Requests one call to the agent's runner. Exactly one runner_answer with this id is expected.
struct runner_call {
    std::uint64_t id = 0;
    // The order to carry out, or nothing to read the state of the runner.
    std::optional<runner_order> order;
};

}
