#pragma once

#include "coordination/attempt_id.h"
#include "state/time.h"

#include <cstdint>

namespace sardinelb::fakes {

// Record of a call that began at a runner.
struct runner_execution {
    attempt_id attempt;
    // Number of this call within the attempt.
    std::uint32_t call = 0;
    // When the agent started the call.
    time_point dispatchedAt;
};

}
