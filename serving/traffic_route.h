#pragma once

#include "serving/retry_semantics.h"
#include "state/ids.h"
#include "state/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sardinelb {

// Matches requests by host and path prefix, and configures how they are served.
struct traffic_route {
    // A weighted pool of runners that serves the route.
    struct pool_share {
        pool_id pool;
        std::uint32_t weight = 1;
    };

    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string pathPrefix;
    retry_semantics retrySemantics = retry_semantics::AtMostOnce;
    // Longest time that a caller waits for the response. Zero means no limit.
    duration timeLimit {};
    // Latency objective for the response, or for the first event of a stream.
    duration objective {};
    // Objective for the time between two events of a stream. Zero if there is none.
    duration eventGapObjective {};
    // Callers of a stream disconnect when nothing arrives for this long, also before the first event.
    duration callerIdleTimeout {};
    // 0 is the highest.
    std::int32_t priority = 0;
    // Number of runners that one request may be sent to.
    std::uint32_t maxAttempts = 1;
    // Whether requests need no API key.
    bool isPublic = false;
    std::vector<pool_share> pools;
};

}
