#pragma once

#include "state/time.h"

#include <chrono>
#include <cstdint>

namespace sardinelb {

// The current time of the steady clock, for the modules that take the time as an argument.
inline time_point steadyNow()
{
    return time_point(std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

// For log lines.
inline std::int64_t wholeMilliseconds(duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

}
