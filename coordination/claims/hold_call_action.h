#pragma once

#include "coordination/attempt_id.h"

#include <cstdint>

namespace sardinelb {

// Suspends or resumes reading the answer of a call when the caller reads more slowly than the runner writes.
struct hold_call_action {
    attempt_id attempt;
    std::uint32_t call = 0;
    bool held = false;
};

}
