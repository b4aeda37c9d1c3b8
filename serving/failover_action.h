#pragma once

#include "serving/attempt_failure.h"
#include "serving/retry_semantics.h"
#include "state/time.h"

#include <cstdint>

namespace sardinelb {

// What follows the failure of an attempt.
enum class failover_action {
    // Send the request to another runner, or continue the stream there.
    TryAnother,
    // Tell the caller that the request was not run.
    RefuseNotRun,
    // Tell the caller that the outcome is unknown.
    FailUnknown,
    // Pass on the failure that the runner answered.
    ForwardError,
    // Break off the stream that the caller is receiving.
    AbortStream,
};

// What is known when an attempt fails.
struct failover_context {
    retry_semantics retrySemantics = retry_semantics::AtMostOnce;
    attempt_failure failure = attempt_failure::OutcomeUnknown;
    // Whether this or an earlier attempt may have run the request.
    bool mayHaveRun = false;
    // Whether the caller has received the head of an answer.
    bool answerStarted = false;
    // Attempts that may have run, and how many the route allows.
    std::uint32_t attemptsSent = 0;
    std::uint32_t maxAttempts = 1;
    // Attempts that surely did not run.
    std::uint32_t attemptsNotRun = 0;
    // Whether the shared allowance covers one more attempt at a runner.
    bool retryAllowed = false;
    // Until the caller's deadline or the route's limit, whichever is first.
    duration timeLeft {};
};

// Decides what follows. A request that may not run twice is sent again only when no attempt can have run it, and the
// caller is told "not run" only then.
failover_action chooseFailoverAction(const failover_context&);

}
