#pragma once

#include "state/ids.h"

#include <cstddef>

namespace sardinelb {

// Fixed parameters of a router.
struct router_settings {
    daemon_id self;
    availability_zone_id zone;
    // Number of runners of one pool that the entry uses; extended if some of them do not accept work.
    std::size_t subsetSize = 20;
};

}
