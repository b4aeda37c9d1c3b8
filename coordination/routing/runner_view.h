#pragma once

#include "state/ids.h"

namespace sardinelb {

// State of one runner according to configuration, membership and the entry's connections.
struct runner_view {
    runner_id runner;
    pool_id pool;
    availability_zone_id zone;
    // False while the runner is draining, leaving or known to be down; it gets no new work then.
    bool accepting = true;
    // Incarnation of the connected agent; 0 while there is no connection.
    incarnation agentIncarnation;
};

}
