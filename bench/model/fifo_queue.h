#pragma once

#include "coordination/queueing/queue_action.h"
#include "coordination/queueing/queued_request.h"
#include "coordination/refusal_reason.h"
#include "state/time.h"
#include "state/units.h"

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace sardinelb::bench {

// Baseline for the agent's queue: unbounded, first come, first served, without regard to deadlines.
class fifo_queue {
public:
    explicit fifo_queue(std::uint32_t slots);

    refusal_reason admit(const queued_request&);
    std::vector<queue_action> poll();
    void onAttemptProgress(const attempt_id&, token_count);
    void onAttemptFinished(const attempt_id&);
    bool remove(const attempt_id&);

    std::uint32_t queued() const { return static_cast<std::uint32_t>(m_waiting.size()); }
    std::uint32_t running() const { return static_cast<std::uint32_t>(m_running.size()); }
    token_count backlog() const { return token_count(m_backlog); }

private:
    std::uint32_t m_slots;
    std::deque<queued_request> m_waiting;
    // Expected tokens that are still to come.
    std::unordered_map<attempt_id, std::int64_t> m_running;
    std::int64_t m_backlog = 0;
};

}
