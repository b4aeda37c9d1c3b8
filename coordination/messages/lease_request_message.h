#pragma once

#include "state/ids.h"
#include "state/units.h"

#include <cstdint>

namespace sardinelb {

// An entry asks the limit owner of one part of a team's limits for tokens and requests, or only reports what it has
// used. A message that wants nothing gets no answer.
struct lease_request_message {
    team_id team;
    daemon_id entry;
    // Rises with every lease request of this entry; a grant repeats it.
    std::uint64_t sequence = 0;
    // Tokens that the entry wants beyond those it holds: for requests that wait and for those expected soon.
    token_count wanted;
    // Tokens that the entry has used since it began to count for this part, less what it got back, and tokens that
    // it still holds. A running total survives the loss of a message. It falls when a reservation is given back.
    token_count used;
    token_count held;
    // The same for requests.
    double requestsWanted = 0;
    double requestsUsed = 0;
    double requestsHeld = 0;
    // Part of the limits, below derived_limits::limitShards.
    std::uint32_t shard = 0;
    // What the first waiting request lacks; a smaller grant is of no use to it. Zero when none waits.
    token_count needed;
    double requestsNeeded = 0;
    // True until this owner has answered the entry. The totals above are then a starting point and no change.
    bool firstContact = false;
};

}
