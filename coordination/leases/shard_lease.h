#pragma once

#include "coordination/limits/limit_amount.h"
#include "coordination/limits/limit_bucket.h"
#include "coordination/limits/limit_share.h"
#include "coordination/messages/lease_request_message.h"
#include "coordination/queueing/decaying_amount.h"
#include "state/ids.h"
#include "state/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace sardinelb {

struct lease_grant_message;

// Outcome of an attempt to spend an amount for a request.
enum class spend_result {
    // The amount was deducted.
    Spent,
    // A lease is needed; request it and try again after the answer.
    Wait,
    // The limits do not allow the amount.
    Refused,
};

// An entry's side of the lease for one shard of a team's limits: what the entry holds, what it has used, and which request to
// the limit owner is open.
class shard_lease {
public:
    shard_lease();

    // Records the amount as demand, which determines the size of later lease requests.
    void recordDemand(const limit_amount&, time_point now);

    // Whether the lease covers the amount.
    bool holds(const limit_amount&, time_point now) const;

    // Deducts the amount from the lease or, while the owner is unreachable, from the fallback share. A request that gets
    // Wait is remembered until it gets another result or stops waiting.
    spend_result spend(const request_id&, const limit_amount&, const limit_share& fallback, bool canWait, time_point now);
    void stopWaiting(const request_id&);

    // Adjusts an earlier use by the difference to the actual use.
    void correct(const limit_amount& more, time_point now);

    // Returns the lease request to send now for the waiting requests, if any. The caller fills in team, shard and entry.
    std::optional<lease_request_message> urgentRequest(std::uint64_t sequence, time_point now);

    // Whether periodicRequest() may have something to send. False for nearly all teams at nearly all times.
    bool isActive(time_point now) const;

    // Returns the renewal or report that is due, if any. Call once per batch period. The caller fills in team, shard and
    // entry.
    std::optional<lease_request_message> periodicRequest(
        std::uint64_t sequence, const limit_share&, time_point now);

    // Processes the owner's answer.
    void granted(const lease_grant_message&, time_point now);

    // Call when the shard has a new owner.
    void onOwnerChanged(time_point now);

    // Until when requests are refused without asking the owner; a past time means that they are not.
    time_point deniedUntil() const { return m_deniedUntil; }

    bool isIdle(time_point now) const;

private:
    struct waiting_request {
        request_id request;
        limit_amount amount;
    };

    void dropExpired(time_point now);
    limit_amount totalHeld() const { return m_held + m_urgent; }
    void consume(const limit_amount&);
    bool isOwnerSilent(time_point now) const;
    bool isOwnerUnreachable(time_point now) const;
    void markOwnerUnreachable(time_point now);
    void markOwnerReachable(time_point now);
    bool spendFallback(const limit_amount&, const limit_share& fallback, time_point now);
    limit_amount shortfallOfFirstWaiting() const;
    limit_amount amountOfOtherWaiting() const;
    limit_amount forecast(time_point now) const;
    bool isRenewalDue(time_point now) const;
    bool isReportDue(const limit_share&) const;
    // By how much the amount that the owner counts as held by this entry, less the use not yet reported, exceeds the amount
    // held: positive if an amount was not used, negative if more was used.
    limit_amount unreportedSurplus() const;
    lease_request_message message(
        std::uint64_t sequence, const limit_amount& needed, const limit_amount& ahead, time_point now);

    limit_amount m_held;
    time_point m_heldUntil;
    // Granted for the waiting request, which uses it at once. The remainder expires maxLeaseWait after the lease request was
    // sent.
    limit_amount m_urgent;
    time_point m_urgentUntil;
    // Shortfall of the first waiting request when the last message was sent.
    limit_amount m_requestedNeed;
    // Total use, its value in the last message, and the amount that the owner has counted as held by this entry since then.
    limit_amount m_totalUsed;
    limit_amount m_reportedTotalUsed;
    limit_amount m_openAtOwner;

    std::uint64_t m_lastSequence = 0;
    time_point m_sentAt;
    // Whether the last message has not been answered yet, and since when the owner has been silent.
    bool m_isAwaitingAnswer = false;
    std::optional<time_point> m_ownerSilentSince;
    // Whether the current owner has ever answered.
    bool m_isKnownToOwner = false;
    time_point m_deniedUntil;
    time_point m_notReadyUntil;
    double m_pressure = 0;

    // Since when the owner has been unreachable, and the bucket of the fallback share, which keeps its level over brief
    // reconnections.
    std::optional<time_point> m_unreachableSince;
    std::optional<limit_bucket> m_fallback;
    time_point m_reachableSince;

    decaying_amount m_demand;
    std::vector<waiting_request> m_waitingRequests;
    time_point m_lastUseAt;
};

}
