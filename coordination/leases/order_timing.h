#pragma once

#include "state/time.h"

#include <chrono>

namespace sardinelb {

// Times and bounds of orders. Issuers and agents use the same values.
struct order_timing {
    // Interval between reads of the order rows, and delay before a failed call is repeated.
    duration readPeriod = std::chrono::seconds(1);
    // The outcome of a table call that has not been answered within this time counts as unknown.
    duration answerTimeout = std::chrono::seconds(1);
    // Interval between messages about the same order.
    duration messagePeriod = std::chrono::seconds(1);
    // Maximum validity of the lease that issuers hold.
    duration leaseValidity = std::chrono::seconds(10);
    // Delay before the runner's state is read again, after a failed call or while the runner is loading.
    duration statePeriod = std::chrono::milliseconds(500);
    // The outcome of a runner call that has not been answered within this time counts as unknown. Also the maximum age of a
    // state that an order is based on.
    duration runnerTimeout = std::chrono::seconds(2);
    // A runner call takes effect within this time after it is sent, or never. The agent runs on the same instance, so only a
    // stalled runner can delay a call.
    duration maxRunnerCallDelay = std::chrono::seconds(5);
    // Number of refusals by the runner after which the order is marked as refused.
    int maxRefusals = 3;
};

}
