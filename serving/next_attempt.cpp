#include "serving/next_attempt.h"

namespace sardinelb {

namespace {

// Less time than this does not suffice for another runner to answer: connecting and one pass of an engine take longer.
constexpr duration minAttemptTime = std::chrono::milliseconds(30);

// Runners that do not run the request are skipped this often before the caller is told to come back.
constexpr std::uint32_t maxAttemptsNotRun = 4;

bool canTryAnother(const failed_attempt_facts& facts)
{
    if (facts.timeLeft < minAttemptTime)
        return false;
    if (facts.mayHaveRun && !mayRunAgain(facts.repeat))
        return false;
    if (facts.attemptsSent >= facts.maxAttempts || facts.attemptsNotRun >= maxAttemptsNotRun)
        return false;
    // A connection that failed is no arrival at a runner and costs nothing of the allowance.
    return facts.failure == attempt_failure::NotConnected || facts.retryAllowed;
}

}

next_step decideNextStep(const failed_attempt_facts& facts)
{
    if (canTryAnother(facts))
        return next_step::TryAnother;
    if (facts.answerStarted)
        return next_step::BreakOff;
    if (facts.failure == attempt_failure::ServerError)
        return next_step::PassOn;
    return facts.mayHaveRun ? next_step::FailUnknown : next_step::RefuseNotRun;
}

}
