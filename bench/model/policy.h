#pragma once

#include "bench/model/fleet_shape.h"
#include "bench/model/queue_hooks.h"
#include "bench/model/router_hooks.h"
#include "coordination/routing/runner_view.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace sardinelb::bench {

// A way to serve a fleet, to be compared with others.
struct policy {
    // Name in the case of a bench line, as in "round-robin".
    std::string name;
    std::function<router_hooks(
        const fleet_shape&, const std::vector<runner_view>&, std::size_t entry, std::uint64_t seed)>
        makeRouter;
    std::function<queue_hooks(const fleet_shape&)> makeQueue;
    // Refused requests may be sent to another runner, this often per request on average.
    double retryRatio = 0;
};

// The product: router and request queue.
policy sardinelbPolicy();

// Baselines. All have unbounded queues that serve first come, first served.
policy leastLoadedPolicy();
policy roundRobinPolicy();
policy randomPolicy();

}
