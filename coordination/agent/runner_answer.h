#pragma once

#include "coordination/agent/runner_state.h"
#include "state/ids.h"

#include <cstdint>

namespace sardinelb {

enum class runner_outcome {
    Done,
    // The runner refused the order; it had no effect.
    Refused,
    // The runner has seen a higher fencing number; the order had no effect.
    StaleNumber,
    // The call was not delivered.
    Unavailable,
    // The order may have taken effect, or may still take effect.
    Unknown,
};

// Answer to a runner_call.
struct runner_answer {
    std::uint64_t call = 0;
    runner_outcome outcome = runner_outcome::Unknown;
    // Result of a call that reads the state.
    runner_state state;
};

}
