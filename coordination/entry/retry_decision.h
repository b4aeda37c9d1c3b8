#pragma once

#include "state/time.h"

namespace sardinelb {

enum class retry_verdict {
    // Try again on another runner after `delay`.
    Retry,
    // The request may not run again, or what happened to it is not known.
    NotSafe,
    // The team's or the fleet's retry budget is used up.
    BudgetSpent,
    // Too little time is left.
    TooLate,
    // The request has used all its attempts.
    TooMany,
};

// Name for logs and metrics, as in "budget_spent".
const char* toString(retry_verdict);

struct retry_decision {
    retry_verdict verdict = retry_verdict::NotSafe;
    duration delay {};
};

}
