#pragma once

#include "coordination/membership/member_view.h"
#include "coordination/spread/spread_peer.h"

#include <vector>

namespace sardinelb {

// Returns the daemons with which configuration changes are exchanged: all except those that refuse connections. Silent
// daemons are kept, so that exchanges resume as soon as the network path works again.
std::vector<spread_peer> spreadPeersOf(const std::vector<member_view>&);

}
