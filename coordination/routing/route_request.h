#pragma once

#include "coordination/queueing/request_cost.h"
#include "state/ids.h"

#include <cstdint>
#include <vector>

namespace sardinelb {

// What the router needs to know about one attempt.
struct route_request {
    request_id request;
    pool_id pool;
    request_cost cost;
    // Digest of the prompt prefix for cache affinity; 0 when there is none.
    std::uint64_t prefixDigest = 0;
    // Runners that earlier attempts of the request have used.
    std::vector<runner_id> excluded;
};

}
