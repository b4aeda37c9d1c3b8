#pragma once

#include "coordination/attempt_id.h"
#include "coordination/refusal_reason.h"

namespace sardinelb {

enum class queue_action_kind {
    // Start the attempt on the runner.
    Dispatch,
    // Continue a paused attempt at the token where it was paused.
    Resume,
    // Pause the attempt on the runner, keeping its progress; a Resume follows later.
    Pause,
    // Refuse the attempt; it was not run and will not be.
    Refuse,
};

// What the agent has to do for one attempt.
struct queue_action {
    queue_action_kind kind = queue_action_kind::Dispatch;
    attempt_id attempt;
    // Priority to give to the runner; a higher number goes first.
    int priority = 0;
    // For Refuse.
    refusal_reason reason = refusal_reason::None;
};

}
