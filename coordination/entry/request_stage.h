#pragma once

namespace sardinelb {

// State of a request at its entry.
enum class request_stage {
    // Waiting for a lease on the team's limits.
    AwaitingLease,
    // Waiting for the claim of the caller's idempotency key.
    Claiming,
    // Waiting for the next attempt.
    Waiting,
    // Submitted; the agent has not replied yet.
    Submitted,
    // Accepted by the agent.
    Accepted,
    // Asked the agent to cancel the attempt, in order to retry on another runner.
    CancellingForRetry,
    // Asked the agent to cancel the attempt because the deadline has passed.
    CancellingAtDeadline,
    // The connection to the agent broke; after a reconnect, a query can still find out the outcome.
    Lost,
    // The caller has its answer; the outcome is still awaited for accounting and for the idempotency key.
    Detached,
    // Not run; the answer waits until this is recorded, so that the caller can reuse the idempotency key.
    RecordingNotRun,
    // Ended; removed after the current event.
    Ended,
};

}
