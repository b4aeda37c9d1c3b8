#pragma once

#include "coordination/membership/member_state.h"
#include "state/ids.h"

#include <string>

namespace sardinelb {

// One daemon as membership sees it.
struct member_view {
    daemon_id daemon;
    availability_zone_id zone;
    std::string address;
    // Highest incarnation heard; 0 when none was.
    incarnation lifetime;
    member_state state = member_state::Listed;
};

}
