#include "serving/failover_action.h"

namespace sardinelb {

namespace {

// Less time than this does not suffice for another runner to answer: connecting and one pass of an engine take longer.
constexpr duration shortestUsefulAttempt = std::chrono::milliseconds(30);

// Runners that do not run the request are skipped this often before the caller is told to come back.
constexpr std::uint32_t maxAttemptsNotRun = 4;

bool canTryAnother(const failover_context& facts)
{
    if (facts.timeLeft < shortestUsefulAttempt)
        return false;
    if (facts.mayHaveRun && !mayRunAgain(facts.retrySemantics))
        return false;
    if (facts.attemptsSent >= facts.maxAttempts || facts.attemptsNotRun >= maxAttemptsNotRun)
        return false;
    // A connection that failed is no arrival at a runner and costs nothing of the allowance.
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
