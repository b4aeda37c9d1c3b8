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
    // Between two requests on a connection.
    duration idleTimeout = std::chrono::seconds(15);
};

}
