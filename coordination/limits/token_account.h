#pragma once

#include "coordination/coordination_error.h"
#include "coordination/queueing/request_cost.h"
#include "coordination/queueing/token_usage.h"
#include "state/ids.h"
#include "state/time.h"

#include <memory>
#include <optional>
#include <vector>

namespace sardinelb {

struct derived_limits;
struct lease_request_message;
struct lease_grant_message;

// Enforces the limits of all teams at one entry. Tokens are spent from leases that the team's limit owner grants. A
// request reserves its expected cost when it is admitted. The reservation is replaced by the usage that the runner
// reports, or released if the request was not run. A reservation that is never settled counts as used once the answer
// is overdue. While an owner is unreachable, the entry may use its equal share of the rate, starting from an empty
// bucket. Pure state machine; not thread-safe.
class token_account {
public:
    explicit token_account(daemon_id self);
    ~token_account();
    token_account(token_account&&) noexcept;
    token_account& operator=(token_account&&) noexcept;

    // Replaces the list of live entries, which own the limits (limit_ownership.h). Before the first call, the account
    // treats its entry as the only one and applies the complete contract. An empty list is ignored.
    void setDaemons(const std::vector<daemon_id>& live, time_point now);

    // On success, the request holds a reservation. Errors: OverContract, with the team as subject and the limit as
    // detail. After an error, waitDeadline() tells whether the refusal is final.
    coordination_result<void> reserve(
        const request_id&, const team_id&, const derived_limits&, const request_cost&, time_point now);

    // Time until which the request should wait for a lease that is pending; nothing if its refusal was final. Call
    // reserve() again after each granted() for its team and at this time at the latest. Call release() if the caller
    // leaves.
    std::optional<time_point> waitDeadline(const request_id&) const;

    // Replaces the reservation by the reported usage.
    void settle(const request_id&, const token_usage&, time_point now);

    // Releases the complete reservation of a request that was not run.
    void release(const request_id&, time_point now);

    // Returns the lease requests that are due; send each to the owner of its shard. Call it after each reserve() and at
    // least every 50 ms.
    std::vector<lease_request_message> takeLeaseRequests(time_point now);

    void granted(const lease_grant_message&, time_point now);

    // Time until a refused team may retry; nothing if it may retry now.
    std::optional<duration> retryAfter(const team_id&, time_point now) const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

}
