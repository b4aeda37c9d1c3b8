#pragma once

#include "state/ids.h"
#include "state/time.h"
#include "state/units.h"

#include <cstdint>

namespace sardinelb {

// Load of one runner as its agent sees it. Sent periodically and with every admission and finish.
struct load_report {
    runner_id runner;
    // False while the runner is draining, stopping or unreachable for its agent.
    bool accepting = true;
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    // Requests that the runner can work on at the same time.
    std::uint32_t slots = 1;
    // Expected tokens still to be generated, queued and running together.
    token_count backlog;
    // Recent time between two tokens of one stream; zero when unknown.
    duration tokenInterval {};
    // Share of the KV cache in use, 0 to 1.
    double cacheUse = 0;
};

}
