#pragma once

#include "serving/retry_semantics.h"
#include "state/ids.h"
#include "state/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sardinelb {

// Requests to one host below one path, and how they are served.
struct traffic_route {
    // A part of the route's requests that goes to one pool of runners.
    struct pool_share {
        pool_id pool;
        std::uint32_t weight = 1;
    };

    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string pathPrefix;
    retry_semantics retrySemantics = retry_semantics::AtMostOnce;
    // Longest time that a caller is kept waiting. Zero means no limit.
    duration timeLimit {};
    // Time to the answer, or to the first event of a stream, within which it is on time.
    duration objective {};
    // Longest pause between two events of a stream that is still on time. Zero if there is none.
    duration eventGapObjective {};
    // Callers of a stream leave when nothing comes for this long, also before the first event.
    duration callerIdleTimeout {};
    // 0 is the highest.
    std::int32_t priority = 0;
    // Runners to which one request may be sent.
    std::uint32_t maxAttempts = 1;
    // Whether requests need no key.
    bool isPublic = false;
    std::vector<pool_share> pools;
};

}
