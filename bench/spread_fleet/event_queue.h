#pragma once

#include "state/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace sardinelb {

// Runs events in order of their virtual time; events with the same time run in the order in which they were added.
class event_queue {
public:
    time_point now() const { return m_now; }

    void after(duration delay, std::function<void()> action)
    {
        m_events.push({ m_now + delay, ++m_lastSequence, std::move(action) });
    }

    // Runs all events that are due within `span`.
    void run(duration span)
    {
        const time_point end = m_now + span;
        while (!m_events.empty() && m_events.top().due <= end) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.due;
            next.action();
        }
        m_now = end;
    }

private:
    struct event {
        time_point due;
        std::uint64_t sequence;
        std::function<void()> action;

        friend bool operator<(const event& left, const event& right)
        {
            return left.due != right.due ? left.due > right.due : left.sequence > right.sequence;
        }
    };

    time_point m_now;
    std::uint64_t m_lastSequence = 0;
    std::priority_queue<event> m_events;
};

}
