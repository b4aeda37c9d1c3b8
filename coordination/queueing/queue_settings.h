#pragma once

#include "state/time.h"

#include <chrono>
#include <cstdint>

namespace sardinelb {

// Fixed parameters of a request queue.
struct queue_settings {
    // Number of requests that the runner processes concurrently.
    std::uint32_t slots = 8;
    // Maximum number of waiting requests.
    std::uint32_t maxQueued = 256;
    // Initial estimate of the time between two tokens of one stream, used until progress has been observed.
    duration tokenInterval = std::chrono::milliseconds(20);
};

}
