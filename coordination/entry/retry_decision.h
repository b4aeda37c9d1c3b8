#pragma once

#include "state/time.h"

namespace sardinelb {

enum class retry_verdict {
    // Retry on another runner after `delay`.
    Retry,
    // The request may not run again, or its outcome is unknown.
    NotSafe,
    // The retry budget of the team or of the fleet is exhausted.
    BudgetSpent,
    // Too little time is left for another attempt.
    TooLate,
    // The request has used all its attempts.
    TooMany,
};

// Name for logs and metrics, such as "budget_spent".
const char* toString(retry_verdict);

struct retry_decision {
    retry_verdict verdict = retry_verdict::NotSafe;
    duration delay {};
};

}
