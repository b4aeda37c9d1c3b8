#pragma once

#include "state/time.h"

#include <chrono>

namespace sardinelb {

// Times of a lease in the table. All daemons use the same values.
struct lease_timing {
    // Time for which a renewal gives the lease.
    duration validity = std::chrono::seconds(10);
    // The holder stops this long before its lease can end. It covers clocks that run at different rates, up to a tenth
    // of the validity, and the time between a check of the lease and the action that follows.
    duration safetyMargin = std::chrono::seconds(1);
    // A renewal every fifth of the validity leaves room for several lost answers.
    duration renewPeriod = std::chrono::seconds(2);
    // Pause between two reads of a candidate, and before a failed call is repeated.
    duration readPeriod = std::chrono::seconds(1);
    // A call without an answer counts as an unknown outcome after this time.
    duration answerTimeout = std::chrono::seconds(1);
};

}
