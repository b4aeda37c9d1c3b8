#pragma once

#include "state/ids.h"
#include "state/time.h"

#include <optional>

namespace sardinelb {

// What one entry learned about the limit of a runner from the runner's own answers. Entries exchange it, because those that send the
// runner nothing cannot see that its limit has changed or ended.
struct runner_limit_update {
    runner_process_id runner;
    // In requests a second from all entries together. Nothing if the runner names no limit any more.
    std::optional<double> requestsPerSecond;
    // Time since the answer.
    duration age {};
};

}
