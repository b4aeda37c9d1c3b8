#include "serving/failover_action.h"

namespace sardinelb {

namespace {

// With less time left, no other runner can respond: connecting and one pass of the engine take longer.
constexpr duration minAttemptTime = std::chrono::milliseconds(30);

// After this many attempts that did not run, the caller is told to retry later.
constexpr std::uint32_t maxAttemptsNotRun = 4;

bool canTryAnother(const failover_context& facts)
{
    if (facts.timeLeft < minAttemptTime)
        return false;
    if (facts.mayHaveRun && !mayRunAgain(facts.retrySemantics))
        return false;
    if (facts.attemptsSent >= facts.maxAttempts || facts.attemptsNotRun >= maxAttemptsNotRun)
        return false;
    // A failed connection puts no load on a runner, so it is not charged to the retry budget.
    return facts.failure == attempt_failure::NotConnected || facts.retryAllowed;
}

}

failover_action chooseFailoverAction(const failover_context& facts)
{
    if (canTryAnother(facts))
        return failover_action::TryAnother;
    if (facts.answerStarted)
        return failover_action::AbortStream;
    if (facts.failure == attempt_failure::ServerError)
        return failover_action::ForwardError;
    return facts.mayHaveRun ? failover_action::FailUnknown : failover_action::RefuseNotRun;
}

}
