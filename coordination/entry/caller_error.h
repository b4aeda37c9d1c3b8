#pragma once

#include "coordination/execution_outcome.h"
#include "state/time.h"

#include <optional>
#include <string>

namespace sardinelb {

// Why a caller gets no whole answer.
struct caller_error {
    // Stable code, as in "over_contract"; docs/OPERATIONS.md lists all.
    std::string code;
    std::string message;
    execution_outcome execution = execution_outcome::NotRun;
    // Time after which another try makes sense.
    std::optional<duration> retryAfter;
};

}
