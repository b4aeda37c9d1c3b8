#pragma once

#include "state/ids.h"

#include <cstddef>

namespace sardinelb {

// Fixed parameters of a router.
struct router_settings {
    daemon_id self;
    availability_zone_id zone;
    // Runners of one pool that the entry uses; more are used when too few of them accept work.
    std::size_t subsetSize = 20;
};

}
