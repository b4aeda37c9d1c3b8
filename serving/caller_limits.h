#pragma once

#include "state/time.h"

#include <cstddef>

namespace sardinelb {

// Bounds on what a caller may send and how long it may take.
struct caller_limits {
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxBodyBytes = 4194304;
    // From the first byte of a request to the end of its header.
    duration headerTimeout = std::chrono::seconds(3);
    // Between two requests on one connection.
    duration idleTimeout = std::chrono::seconds(15);
};

}
