#pragma once

#include "coordination/leases/lease_verdict.h"
#include "state/ids.h"
#include "state/time.h"
#include "state/units.h"

#include <cstdint>

namespace sardinelb {

// A limit owner's answer. Unused tokens lapse when the lease expires.
struct lease_grant_message {
    team_id team;
    daemon_id entry;
    std::uint64_t sequence = 0;
    // Tokens and requests in addition to those that the entry holds.
    token_count granted;
    double requestsGranted = 0;
    // Time until the lease expires, counted from the sending of the request that is answered. The entry's lease then
    // ends before the owner's record of it, however long the answer takes. The part that was needed expires after
    // limit_lease_settings::maxLeaseWait.
    duration validFor {};
    std::uint32_t shard = 0;
    lease_verdict verdict = lease_verdict::Granted;
    // The entry does not ask again before this time has passed. Also set for Granted while many entries compete.
    duration retryAfter {};
    // Share of the burst that is in use, 0 to 1.
    double pressure = 0;
};

}
