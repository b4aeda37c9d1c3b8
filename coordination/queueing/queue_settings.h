#pragma once

#include "state/time.h"

#include <chrono>
#include <cstdint>

namespace sardinelb {

// Fixed parameters of a request queue.
struct queue_settings {
    // Requests that the runner works on at the same time.
    std::uint32_t slots = 8;
    // Bound on waiting requests.
    std::uint32_t maxQueued = 256;
    // First estimate of the time between two tokens of one stream, until progress has been observed.
    duration tokenInterval = std::chrono::milliseconds(20);
};

}
