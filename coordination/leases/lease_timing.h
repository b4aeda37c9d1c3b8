#pragma once

#include "state/time.h"

#include <chrono>

namespace sardinelb {

// Times of a lease that is kept in the table (lease.h). All daemons use the same values.
struct lease_timing {
    // Time for which each write extends the lease.
    duration validity = std::chrono::seconds(10);
    // The holder stops acting this long before its lease ends. The margin covers clocks that run at different rates, up to
    // a tenth of the validity, and the time between a check of the lease and the action that follows.
    duration safetyMargin = std::chrono::seconds(1);
    // Interval between renewals: a fifth of the validity tolerates several lost answers.
    duration renewPeriod = std::chrono::seconds(2);
    // Interval between a candidate's reads, and delay before a failed call is repeated.
    duration readPeriod = std::chrono::seconds(1);
    // The outcome of a call that has not been answered within this time counts as unknown.
    duration answerTimeout = std::chrono::seconds(1);
};

}
