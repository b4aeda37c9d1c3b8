#pragma once

namespace sardinelb {

// State of an attempt at its agent.
enum class attempt_stage {
    // Accepted and not yet dispatched.
    Queued,
    // Running on the runner.
    Dispatched,
    // Dispatched before, stopped, and waiting to be resumed.
    Paused,
    // Ended; the result is kept for queries.
    Finished,
    // Refused or cancelled before dispatch, and never to be dispatched.
    Tombstone,
};

}
