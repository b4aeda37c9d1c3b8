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

// Hands out the limits of the teams that this daemon owns (limit_ownership.h) as leases to entries. Its state is
// soft: one bucket per part of a team's limits, lost with the daemon. A new owner starts with an empty bucket. The
// bucket that has seen everything can hold no less, so nothing is granted twice, whatever the predecessor has lent.
// A predecessor that is alive hands over what its bucket holds.
//
// Two daemons that both take themselves for the owner because their lists of live daemons differ for a time d grant
// together at most one bucket and rate * max(0, d - takeoverWait) more: the second one starts empty after
// takeoverWait and fills at the rate. They grant at most two buckets if it goes on. Entries that already ask the
// second one live on their fallback shares (token_account.h) until it is ready, which adds at most
// rate * (d + takeoverWait) and the fallback credit.
//
// Pure state machine; not safe for use from several threads.
class limit_owner {
public:
    explicit limit_owner(daemon_id self);
    ~limit_owner();
    limit_owner(limit_owner&&) noexcept;
    limit_owner& operator=(limit_owner&&) noexcept;

    // Replaces the list of daemons among which owners are chosen. State of parts that now belong to others is dropped;
    // send each returned message to the new owner. A daemon that leaves in an orderly way sets the list without
    // itself while it still runs.
    [[nodiscard]] std::vector<limit_handover_message> setDaemons(const std::vector<daemon_id>& live, time_point now);

    // Takes over what a predecessor had left. Ignored unless this daemon becomes or has become the owner within
    // limit_lease_settings::handoverValidity.
    void acceptHandover(const limit_handover_message&, const derived_limits&, time_point now);

    // Takes in what the entry reports and answers what it asks for. Returns nothing for a mere report and for a
    // message that is older than one already seen.
    std::optional<lease_grant_message> answer(const lease_request_message&, const incarnation& ofEntry,
        const derived_limits&, time_point now);

    // Drops what idle teams have left behind. Call it about once a second.
    void dropIdle(time_point now);

    // Number of parts for which there is state.
    std::size_t trackedShards() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

}
