#pragma once

#include "state/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace sardinelb {

// Predicts the start times of attempts that are served in a given order on the slots of one runner.
class start_forecast {
public:
    // All slots are free at `now`.
    start_forecast(std::uint32_t slots, time_point now);

    // Assigns a slot to a running attempt that ends at the given time.
    void occupy(time_point until);

    // Start time of the next attempt: when the first slot becomes free.
    time_point nextStart() const;

    // Assigns the first slot that becomes free to the next attempt, for the given time.
    void start(duration service);

private:
    void occupyFirstFree(time_point until);

    // Times at which the slots become free, earliest first.
    std::priority_queue<time_point, std::vector<time_point>, std::greater<>> m_freeAt;
};

}
