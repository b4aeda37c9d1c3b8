#pragma once

#include "coordination/attempt_id.h"
#include "coordination/execution_outcome.h"
#include "coordination/refusal_reason.h"
#include "state/ids.h"
#include "state/time.h"

#include <cstdint>

namespace sardinelb {

// What is known about an attempt that ended without a complete answer.
struct failed_attempt {
    attempt_id attempt;
    team_id team;
    bool idempotent = false;
    execution_outcome outcome = execution_outcome::Unknown;
    // Set when the agent refused the attempt.
    refusal_reason refusal = refusal_reason::None;
    // Attempts of the request, including this one, that failed before their answer began although the runner may have run them.
    std::uint32_t failuresBeforeAnswer = 0;
    // When the answer is due.
    time_point answerBy;
};

}
