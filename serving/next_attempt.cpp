#include "serving/next_attempt.h"

namespace sardinelb {

namespace {

// With less time left, no other runner can respond: connecting and one pass of the engine take longer.
constexpr duration minAttemptTime = std::chrono::milliseconds(30);

// After this many attempts that did not run, the caller is told to retry later.
constexpr std::uint32_t maxAttemptsNotRun = 4;

bool canTryAnother(const failed_attempt_facts& facts)
{
    if (facts.timeLeft < minAttemptTime)
        return false;
    if (facts.mayHaveRun && !mayRunAgain(facts.repeat))
        return false;
    if (facts.attemptsSent >= facts.maxAttempts || facts.attemptsNotRun >= maxAttemptsNotRun)
        return false;
    // A failed connection puts no load on a runner, so it is not charged to the retry budget.
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
