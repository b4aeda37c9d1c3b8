#pragma once

#include "state/time.h"

#include <cstddef>
#include <deque>

namespace sardinelb {

// The largest value of a time window. Pure state machine.
class recent_maximum {
public:
    explicit recent_maximum(duration window);

    // Must be called again and again while the value stays the same.
    void add(std::size_t value, time_point now);

    // 0 before the first value.
    std::size_t value() const;

private:
    struct sample {
        std::size_t value = 0;
        time_point at;
    };

    duration m_window;
    // Each is smaller than the one before.
    std::deque<sample> m_samples;
};

}
