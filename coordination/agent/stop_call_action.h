#pragma once

#include "coordination/attempt_id.h"

#include <cstdint>

namespace sardinelb {

// Cancels a call at the runner. Nothing that the call still produces counts.
struct stop_call_action {
    attempt_id attempt;
    std::uint32_t call = 0;
};

}
