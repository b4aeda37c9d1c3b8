#include "serving/failover_action.h"

namespace sardinelb {

namespace {

// With less time left, no other runner can respond: connecting and one pass of the engine take longer.
constexpr duration minAttemptTime = std::chrono::milliseconds(30);

// After this many attempts that did not run, the caller is told to retry later.
constexpr std::uint32_t maxAttemptsNotRun = 4;

bool canTryAnother(const failover_context& context)
{
    if (context.timeLeft < minAttemptTime)
        return false;
    if (context.mayCrashRunners)
        return false;
    if (context.mayHaveRun && !mayRunAgain(context.retrySemantics))
        return false;
    if (context.attemptsSent >= context.maxAttempts || context.attemptsNotRun >= maxAttemptsNotRun)
        return false;
    // A failed connection puts no load on a runner, so it is not charged to the retry budget.
    return context.failure == attempt_failure::NotConnected || context.retryAllowed;
}

}

failover_action chooseFailoverAction(const failover_context& context)
{
    if (canTryAnother(context))
        return failover_action::TryAnother;
    if (context.answerStarted)
        return failover_action::AbortStream;
    if (context.failure == attempt_failure::ServerError)
        return failover_action::ForwardError;
    return context.mayHaveRun ? failover_action::FailUnknown : failover_action::RefuseNotRun;
}

}
