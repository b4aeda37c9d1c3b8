#pragma once

#include "state/ids.h"
#include "state/units.h"

#include <cstdint>

namespace sardinelb {

// Request of an entry to the owner of one shard of a team's limits for tokens and requests, or a mere report of what
// the entry has used. A message that requests nothing gets no reply.
struct lease_request_message {
    team_id team;
    daemon_id entry;
    // Increases with every lease request of this entry; the grant returns it.
    std::uint64_t sequence = 0;
    // Tokens wanted beyond those held, for requests that wait and requests expected soon.
    token_count wanted;
    // Net tokens used since the entry began to count for this shard, and tokens still held. `used` is a running total,
    // so that a lost message loses no usage; it decreases when a reservation is returned.
    token_count used;
    token_count held;
    // The same for requests.
    double requestsWanted = 0;
    double requestsUsed = 0;
    double requestsHeld = 0;
    // Shard of the limits, less than derived_limits::limitShards.
    std::uint32_t shard = 0;
    // Shortfall of the first waiting request, which a smaller grant cannot serve. Zero when no request waits.
    token_count needed;
    double requestsNeeded = 0;
    // True until this owner has replied to the entry. The totals above are then a baseline rather than new usage.
    bool firstContact = false;
};

}
