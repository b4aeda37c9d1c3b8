#pragma once

#include <chrono>

namespace sardinelb {

// Clock of the decision modules. It has no now(): time is always passed as an argument, so that tests and benchmarks
// run on virtual time.
struct event_clock {
    using rep = std::chrono::microseconds::rep;
    using period = std::chrono::microseconds::period;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<event_clock>;
    // The name is fixed by the Clock requirements of the standard library.
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

using duration = event_clock::duration;
using time_point = event_clock::time_point;

}
