#pragma once

#include "coordination/execution_outcome.h"
#include "state/time.h"

#include <optional>
#include <string>

namespace sardinelb {

// Why a caller receives no complete answer.
struct caller_error {
    // Stable code, such as "over_contract"; docs/OPERATIONS.md lists them.
    std::string code;
    std::string message;
    execution_outcome execution = execution_outcome::NotRun;
    // Time after which the caller may retry.
    std::optional<duration> retryAfter;
};

}
