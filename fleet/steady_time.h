#pragma once

#include "state/time.h"

#include <chrono>

namespace sardinelb {

// The time of the process for the decision modules.
inline time_point steadyNow()
{
    return time_point(std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

}
