#pragma once

#include "state/time.h"

#include <chrono>

namespace sardinelb {

// Times and bounds of orders, the same for issuers and agents.
struct order_timing {
    // Pause between two reads of the order rows, and before a failed call is repeated.
    duration readPeriod = std::chrono::seconds(1);
    // A call to the table without an answer counts as an unknown outcome after this time.
    duration answerTimeout = std::chrono::seconds(1);
    // Pause between two messages about the same order.
    duration messagePeriod = std::chrono::seconds(1);
    // Longest validity of the issuers' lease.
    duration leaseValidity = std::chrono::seconds(10);
    // Pause between two reads of the runner's state, and the greatest age of a state that an order is based on.
    duration statePeriod = std::chrono::milliseconds(500);
    // A call to the runner without an answer counts as an unknown outcome after this time.
    duration runnerTimeout = std::chrono::seconds(2);
    // A call to the runner takes effect within this time after it was sent, or never. The agent stands on the same
    // instance, so that only a stalled runner can delay a call.
    duration runnerCallBound = std::chrono::seconds(5);
    // Refusals by the runner after which an order counts as refused for good.
    int mostRefusals = 3;
};

}
