#pragma once

#include "state/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace sardinelb::fakes {

// Virtual clock and scheduler. Runs work in order of time, and work of equal times in the order of scheduling.
class event_queue {
public:
    time_point now() const { return m_now; }

    void at(time_point, std::function<void()>);
    void after(duration, std::function<void()>);

    // Runs all work due up to the given time and advances the clock to it.
    void runUntil(time_point);

private:
    time_point m_now {};
    std::uint64_t m_scheduled = 0;
    std::map<std::pair<time_point, std::uint64_t>, std::function<void()>> m_events;
};

}
