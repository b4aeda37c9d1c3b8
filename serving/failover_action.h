#pragma once

#include "serving/attempt_failure.h"
#include "serving/retry_semantics.h"
#include "state/time.h"

#include <cstdint>

namespace sardinelb {

// What the entry does after an attempt failed.
enum class failover_action {
    // Send the request to another runner, or resume the stream there.
    TryAnother,
    // Tell the caller that the request was not run.
    RefuseNotRun,
    // Tell the caller that the outcome is unknown.
    FailUnknown,
    // Forward the runner's error response.
    ForwardError,
    // Abort the stream that the caller is receiving.
    AbortStream,
};

// State of a request when one of its attempts has failed.
struct failover_context {
    retry_semantics retrySemantics = retry_semantics::AtMostOnce;
    attempt_failure failure = attempt_failure::OutcomeUnknown;
    // Whether this or an earlier attempt may have run the request.
    bool mayHaveRun = false;
    // Whether the caller has received the head of a response.
    bool answerStarted = false;
    // Attempts that may have run, and the most that the route allows.
    std::uint32_t attemptsSent = 0;
    std::uint32_t maxAttempts = 1;
    // Attempts that certainly did not run.
    std::uint32_t attemptsNotRun = 0;
    // Whether the request may be what ended its runner, so that it would end the next one too.
    bool mayCrashRunners = false;
    // Whether the retry budget allows another attempt.
    bool retryAllowed = false;
    // Until the caller's deadline or the route's time limit, whichever comes first.
    duration timeLeft {};
};

// Chooses how to handle the failure. A request that must not run twice is sent again only if no attempt can have run it,
// and the caller is told "not run" only in that case.
failover_action chooseFailoverAction(const failover_context&);

}
