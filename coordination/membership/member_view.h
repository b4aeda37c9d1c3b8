#pragma once

#include "coordination/membership/member_state.h"
#include "state/ids.h"

#include <string>

namespace sardinelb {

// Snapshot of what membership knows about one daemon.
struct member_view {
    daemon_id daemon;
    availability_zone_id zone;
    std::string address;
    // Highest incarnation seen in a frame; 0 if no frame arrived.
    incarnation lifetime;
    member_state state = member_state::Listed;
};

}
