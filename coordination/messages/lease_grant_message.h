#pragma once

#include "coordination/leases/lease_verdict.h"
#include "state/ids.h"
#include "state/time.h"
#include "state/units.h"

#include <cstdint>

namespace sardinelb {

// Reply of a limit owner. Unused tokens are lost when the lease expires.
struct lease_grant_message {
    team_id team;
    daemon_id entry;
    std::uint64_t sequence = 0;
    // Tokens and requests in addition to those that the entry holds.
    token_count granted;
    double requestsGranted = 0;
    // Lifetime of the lease, counted from the time at which the entry sent its request. The entry's lease thus ends
    // before the owner's record of it, however long the reply takes. The part that was needed expires after
    // limit_lease_settings::maxLeaseWait.
    duration validFor {};
    std::uint32_t shard = 0;
    lease_verdict verdict = lease_verdict::Granted;
    // Minimum delay before the entry's next request. Also set for Granted while many entries compete.
    duration retryAfter {};
    // Fraction of the burst in use, from 0 to 1.
    double pressure = 0;
};

}
