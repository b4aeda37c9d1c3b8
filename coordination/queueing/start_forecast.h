#pragma once

#include "state/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace sardinelb {

// Predicts when attempts start that are served in a given order on the slots of one runner.
class start_forecast {
public:
    // All slots are free at `now`.
    start_forecast(std::uint32_t slots, time_point now);

    // Takes a slot for an attempt that is running and ends at the given time.
    void occupy(time_point until);

    // Start of the next attempt in order, if it were given the first slot that becomes free.
    time_point nextStart() const;

    // Gives the first slot that becomes free to an attempt that needs it for this long.
    void start(duration service);

private:
    void take(time_point until);

    // When each slot becomes free, the earliest first.
    std::priority_queue<time_point, std::vector<time_point>, std::greater<>> m_freeAt;
};

}
