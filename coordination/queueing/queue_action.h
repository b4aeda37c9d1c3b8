#pragma once

#include "coordination/attempt_id.h"
#include "coordination/refusal_reason.h"

namespace sardinelb {

enum class queue_action_kind {
    // Start the attempt on the runner.
    Dispatch,
    // Continue a paused attempt at the token where it was paused.
    Resume,
    // Pause the attempt on the runner and keep its progress; a Resume follows later.
    Pause,
    // Refuse the attempt, which was never dispatched.
    Refuse,
};

// Action that the agent must take for one attempt.
struct queue_action {
    queue_action_kind kind = queue_action_kind::Dispatch;
    attempt_id attempt;
    // Priority for the runner's scheduler; higher numbers run first.
    int priority = 0;
    // Set for Refuse.
    refusal_reason reason = refusal_reason::None;
};

}
