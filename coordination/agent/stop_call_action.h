#pragma once

#include "coordination/attempt_id.h"

#include <cstdint>

namespace sardinelb {

// Cancels a call to the runner. Later results of the call are ignored.
struct stop_call_action {
    attempt_id attempt;
    std::uint32_t call = 0;
};

}
