#pragma once

#include "coordination/messages/lease_grant_message.h"
#include "coordination/messages/lease_request_message.h"
#include "coordination/messages/limit_handover_message.h"
#include "state/ids.h"
#include "state/time.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace sardinelb {

struct derived_limits;

// Grants leases on the limits that this daemon owns (limit_ownership.h) to entries. Its state is soft: one bucket per
// shard, lost with the daemon. A new owner starts with an empty bucket. A bucket that had seen all use could not hold
// less, so nothing is granted twice, whatever the previous owner has leased out. A previous owner that is alive hands
// over the level of its bucket.
//
// If the lists of live daemons differ for a time d, two daemons may both act as the owner. Together they grant at most
// one bucket plus rate * max(0, d - takeoverWait): the second one starts empty after takeoverWait and fills at the
// rate. If the state persists, they grant at most two buckets. Entries that already ask the second one use their
// fallback shares (token_account.h) until it is ready, which adds at most rate * (d + takeoverWait) and the fallback
// credit.
//
// Pure state machine; not thread-safe.
class limit_owner {
public:
    explicit limit_owner(daemon_id self);
    ~limit_owner();
    limit_owner(limit_owner&&) noexcept;
    limit_owner& operator=(limit_owner&&) noexcept;

    // Replaces the list of daemons among which owners are chosen. Drops the state of shards that other daemons own now;
    // send each returned message to the new owner. A daemon that shuts down gracefully sets the list without itself
    // while it is still running.
    [[nodiscard]] std::vector<limit_handover_message> setDaemons(const std::vector<daemon_id>& live, time_point now);

    // Takes over the bucket level of the previous owner. Ignored unless this daemon becomes or has become the owner
    // within limit_lease_settings::handoverValidity.
    void acceptHandover(const limit_handover_message&, const derived_limits&, time_point now);

    // Processes the entry's report and answers its request for a lease. Returns nothing for a message that only reports
    // and for one that is not newer than the last one seen.
    std::optional<lease_grant_message> answer(const lease_request_message&, const incarnation& ofEntry,
        const derived_limits&, time_point now);

    // Drops the state of idle leases and shards, and expired handovers. Call it about once per second.
    void dropIdle(time_point now);

    // Number of shards with state.
    std::size_t trackedShards() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

}
