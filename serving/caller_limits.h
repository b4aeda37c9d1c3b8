#pragma once

#include "state/time.h"

#include <cstddef>

namespace sardinelb {

// Size and time limits on what callers send.
struct caller_limits {
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxBodyBytes = 4194304;
    // From the first byte of a request to the end of its header.
    duration headerTimeout = std::chrono::seconds(3);
    // In each such time, a body has to bring 1 KiB or its end.
    duration bodyStallTimeout = std::chrono::seconds(10);
    // Between two requests on a connection.
    duration idleTimeout = std::chrono::seconds(15);
};

}
