#pragma once

namespace sardinelb {

// Where a request is at its entry.
enum class request_stage {
    // Waiting for a lease on the team's limits.
    AwaitingLease,
    // Waiting for the claim of the caller's idempotency key.
    Claiming,
    // Waiting for the next attempt.
    Waiting,
    // Submitted; the agent has not answered yet.
    Submitted,
    // Accepted by the agent.
    Accepted,
    // Asked the agent to cancel in order to try elsewhere.
    CancellingForRetry,
    // Asked the agent to cancel because the deadline has passed.
    CancellingAtDeadline,
    // The connection to the agent broke; the outcome may still be learnt by a query.
    Lost,
    // The caller has been answered; the outcome is awaited for accounting and for the idempotency key.
    Detached,
    // Not run; the answer waits until that is recorded, so that the caller can use the key again.
    RecordingNotRun,
    // Nothing follows; removed at the end of the event.
    Ended,
};

}
