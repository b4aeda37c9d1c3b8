#pragma once

#include "coordination/queueing/request_cost.h"
#include "state/ids.h"

#include <cstdint>
#include <vector>

namespace sardinelb {

// Input to the routing of one attempt.
struct route_request {
    request_id request;
    pool_id pool;
    request_cost cost;
    // Digest of the prompt prefix for cache affinity; 0 if there is none.
    std::uint64_t prefixDigest = 0;
    // Runners used by earlier attempts of the request.
    std::vector<runner_id> excluded;
};

}
