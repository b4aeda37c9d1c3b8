#pragma once

#include "coordination/attempt_id.h"
#include "coordination/queueing/queue_action.h"
#include "coordination/queueing/queued_request.h"
#include "coordination/refusal_reason.h"
#include "state/time.h"
#include "state/units.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace sardinelb::bench {

// The queueing policy of one agent. The hooks correspond to the functions of sardinelb::request_queue.
struct queue_hooks {
    std::function<refusal_reason(const queued_request&, time_point)> admit;
    std::function<std::vector<queue_action>(time_point)> poll;
    std::function<std::optional<time_point>()> nextDeadline;
    std::function<void(const attempt_id&, token_count, time_point)> onAttemptProgress;
    std::function<void(const attempt_id&, time_point)> onAttemptFinished;
    std::function<bool(const attempt_id&)> remove;
    std::function<std::uint32_t()> queued;
    std::function<std::uint32_t()> running;
    std::function<token_count()> backlog;
    std::function<duration()> tokenInterval;
};

}
