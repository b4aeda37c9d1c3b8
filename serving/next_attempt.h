#pragma once

#include "serving/attempt_failure.h"
#include "serving/repeat_rule.h"
#include "state/time.h"

#include <cstdint>

namespace sardinelb {

// What the entry does after an attempt failed.
enum class next_step {
    // Send the request to another runner, or resume the stream there.
    TryAnother,
    // Tell the caller that the request was not run.
    RefuseNotRun,
    // Tell the caller that the outcome is unknown.
    FailUnknown,
    // Forward the runner's error response.
    PassOn,
    // Abort the stream that the caller is receiving.
    BreakOff,
};

// State of a request when one of its attempts has failed.
struct failed_attempt_facts {
    repeat_rule repeat = repeat_rule::AtMostOnce;
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
    // Whether the retry budget allows another attempt.
    bool retryAllowed = false;
    // Until the caller's deadline or the route's time limit, whichever comes first.
    duration timeLeft {};
};

// Chooses how to handle the failure. A request that must not run twice is sent again only if no attempt can have run it,
// and the caller is told "not run" only in that case.
next_step decideNextStep(const failed_attempt_facts&);

}
