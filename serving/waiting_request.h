#pragma once

#include "state/ids.h"
#include "state/time.h"

#include <cstdint>

namespace sardinelb {

// A request queued at an entry until a runner has a free slot.
struct waiting_request {
    // Assigned by the entry; unique among the waiting requests.
    std::uint64_t ticket = 0;
    // 0 is the highest. The priority of the route decides among requests of the same priority.
    std::int32_t priority = 0;
    std::int32_t routePriority = 0;
    team_id team;
    time_point arrivedAt;
    // Whether the caller was rejected before and retries; callers rarely retry a second time.
    bool isCallerRetry = false;
    // A request that starts later misses its latency objective.
    time_point latestTimelyStart;
    // A request that starts later cannot complete in time and is dropped.
    time_point latestStart;
};

}
