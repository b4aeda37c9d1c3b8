#pragma once

#include "coordination/entry/tracked_attempt.h"
#include "state/time.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace sardinelb {

// The waiting, running and paused attempts of one runner. References remain valid until the attempt is erased.
class attempt_table {
public:
    // Adds a waiting attempt. The attempt must not be in the table.
    tracked_attempt& add(const queued_request&, time_point now);

    // Returns nullptr when the attempt is not in the table.
    tracked_attempt* find(const attempt_id&);

    // Moves an attempt from the idle to the running ones.
    void start(tracked_attempt&);

    // Moves an attempt from the running to the idle ones.
    void pause(tracked_attempt&, time_point now);

    void erase(tracked_attempt&);

    // Waiting and paused attempts, in no particular order.
    const std::vector<tracked_attempt*>& idle() const { return m_idle; }
    const std::vector<tracked_attempt*>& running() const { return m_running; }

    // Number of attempts that have not been dispatched.
    std::uint32_t waiting() const { return m_waiting; }

    // Expected number of completion tokens that all attempts have yet to generate.
    std::int64_t remainingTokens() const;

private:
    std::unordered_map<attempt_id, tracked_attempt> m_attempts;
    std::vector<tracked_attempt*> m_idle;
    std::vector<tracked_attempt*> m_running;
    std::uint32_t m_waiting = 0;
    std::uint64_t m_nextSequence = 0;
};

}
