#pragma once

#include "state/ids.h"

namespace sardinelb {

// Another daemon with which configuration changes are exchanged.
struct spread_peer {
    daemon_id daemon;
    availability_zone_id zone;
};

}
