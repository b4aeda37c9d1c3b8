#pragma once

#include "state/ids.h"
#include "state/time.h"

#include <cstdint>

namespace sardinelb {

// A request that waits at an entry for a runner with room.
struct waiting_request {
    // Chosen by the entry; unique among the waiting requests.
    std::uint64_t ticket = 0;
    // 0 is the highest.
    std::int32_t priority = 0;
    team_id team;
    time_point arrivedAt;
    // Whether the caller was turned away before and has come back, so that this is its last chance.
    bool isCallerRetry = false;
    // A start after this time makes the answer late.
    time_point latestTimelyStart;
    // A start after this time is useless.
    time_point latestStart;
};

}
