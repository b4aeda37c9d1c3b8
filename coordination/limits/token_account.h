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

// Limits of all teams at one entry. Tokens are spent from leases that the team's limit owner grants. A request
// reserves its expected cost when it is admitted, settles on the usage that the runner reports, and gives the
// reservation back when it was not run. A reservation that is never settled counts as used once the answer is
// overdue. While an owner is out of reach, the entry may use its equal share of the rate, from an empty start.
// Pure state machine; not safe for use from several threads.
class token_account {
public:
    explicit token_account(daemon_id self);
    ~token_account();
    token_account(token_account&&) noexcept;
    token_account& operator=(token_account&&) noexcept;

    // Replaces the list of live entries, which own the limits (limit_ownership.h). Before the first call the account
    // takes itself for the only entry and applies the whole contract. An empty list is ignored.
    void setDaemons(const std::vector<daemon_id>& live, time_point now);

    // Errors: OverContract, naming the team and the limit. On success the request holds a reservation. After a
    // refusal, waitDeadline() tells whether the refusal is final.
    coordination_result<void> reserve(
        const request_id&, const team_id&, const derived_limits&, const request_cost&, time_point now);

    // Time until which the refused request should be held because a lease has been asked for. Call reserve() with it
    // again after each granted() for its team, and at this time at the latest; call release() if the caller leaves.
    // Nothing when the refusal was final.
    std::optional<time_point> waitDeadline(const request_id&) const;

    // Replaces the reservation by the usage that was reported.
    void settle(const request_id&, const token_usage&, time_point now);

    // Gives the whole reservation back; the request was not run.
    void release(const request_id&, time_point now);

    // Requests for leases that have become due; send each to the owner of its part of the team's limits. Call it
    // after each reserve() and at least every 50 ms.
    std::vector<lease_request_message> takeLeaseRequests(time_point now);

    void granted(const lease_grant_message&, time_point now);

    // Earliest time at which a refused team may try again.
    std::optional<duration> retryAfter(const team_id&, time_point now) const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

}
