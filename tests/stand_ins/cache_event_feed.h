#pragma once

#include "state/time.h"
#include "tests/stand_ins/cache_change.h"

#include <cstdint>
#include <deque>
#include <random>
#include <vector>

namespace sardinelb::stand_ins {

// Publishes the changes of a prefix cache as numbered events, with injected delay and loss. A lost event leaves a gap
// in the numbers.
class cache_event_feed {
public:
    struct event {
        std::uint64_t number;
        time_point visibleAt;
        cache_change change;
    };

    cache_event_feed(duration delay, double lossProbability, std::uint64_t seed);

    void add(const cache_change&, time_point now);

    // Returns the visible events with a number above `number`, in order.
    std::vector<event> eventsAfter(std::uint64_t number, time_point now) const;

private:
    duration m_delay;
    std::bernoulli_distribution m_isLost;
    std::mt19937_64 m_random;
    std::uint64_t m_lastNumber = 0;
    std::deque<event> m_events;
};

}
