#pragma once

#include "state/ids.h"

namespace sardinelb {

// What an entry knows about one runner from configuration and membership.
struct runner_view {
    runner_id runner;
    pool_id pool;
    availability_zone_id zone;
    // False while the runner is draining, leaving or known to be down; it then gets no new work.
    bool accepting = true;
    // Incarnation of the agent that the entry is connected to; 0 while there is no connection.
    incarnation agentIncarnation;
};

}
