#pragma once

#include "coordination/attempt_id.h"
#include "coordination/execution_outcome.h"
#include "coordination/queueing/token_usage.h"
#include "coordination/routing/load_report.h"

#include <cstdint>
#include <string>

namespace sardinelb {

// Reports the end of an accepted attempt.
struct finish_message {
    attempt_id attempt;
    execution_outcome outcome = execution_outcome::Unknown;
    // Number of chunks sent; the answer is complete only when all of them have arrived.
    std::uint64_t chunkCount = 0;
    // Plain services: status and content type of the runner's answer.
    int httpStatus = 0;
    std::string contentType;
    token_usage usage;
    load_report load;
    // Why the attempt did not complete; empty when it did.
    std::string detail;
};

}
