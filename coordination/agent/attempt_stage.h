#pragma once

namespace sardinelb {

// Progress of one attempt at the agent.
enum class attempt_stage {
    // Accepted and never given to the runner.
    Queued,
    // Running on the runner.
    Dispatched,
    // Given to the runner before, stopped, and waiting to be resumed.
    Paused,
    // Ended; the result is kept for a query.
    Finished,
    // Never dispatched, and it never will be.
    Tombstone,
};

}
