#pragma once

#include "coordination/spread/spread_peer.h"
#include "state/ids.h"

#include <cstddef>
#include <vector>

namespace sardinelb {

// Returns whether `self` is among the first `pollers` daemons of its zone by rendezvous hashing. Daemons that know the
// same peers agree. When a poller leaves, only that poller is replaced.
bool isPollerOf(
    const availability_zone_id&, const daemon_id& self, const std::vector<spread_peer>& peers, std::size_t pollers);

}
