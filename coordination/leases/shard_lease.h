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

enum class spend_result {
    // The amount was taken.
    Spent,
    // A lease is needed; ask for it and try again when the answer is there.
    Wait,
    // There is no room.
    Refused,
};

// An entry's side of the lease for one part of a team's limits: what it holds, what it has used, and which question
// to the owner is open.
class shard_lease {
public:
    shard_lease();

    // Counts the amount as demand, from which the size of later leases follows.
    void recordDemand(const limit_amount&, time_point now);

    // Whether the lease covers the amount.
    bool holds(const limit_amount&, time_point now) const;

    // Takes the amount for the request from the lease or, while the owner is out of reach, from the fallback share.
    // A request that gets Wait is remembered until it gets another result or stops waiting.
    spend_result spend(const request_id&, const limit_amount&, const limit_share& fallback, bool mayWait, time_point now);
    void stopWaiting(const request_id&);

    // Corrects an earlier use by the difference to what was really used.
    void correct(const limit_amount& more, time_point now);

    // The question to the owner that a waiting request makes necessary now. Team, shard, entry and sequence are left
    // to the caller.
    std::optional<lease_request_message> urgentRequest(std::uint64_t sequence, time_point now);

    // Whether periodicRequest() may have something to send; false for nearly all teams at nearly all times.
    bool isActive(time_point now) const;

    // A renewal or a report that is due. Called once in each batch period.
    std::optional<lease_request_message> periodicRequest(
        std::uint64_t sequence, const limit_share&, time_point now);

    void granted(const lease_grant_message&, time_point now);

    // The part has another owner now.
    void onOwnerChanged(time_point now);

    // Time until which requests are refused without asking; in the past when they are not.
    time_point deniedUntil() const { return m_deniedUntil; }

    bool isIdle(time_point now) const;

private:
    struct waiting_request {
        request_id request;
        limit_amount amount;
    };

    void lapse(time_point now);
    limit_amount heldInAll() const { return m_held + m_urgent; }
    void take(const limit_amount&);
    bool isSilent(time_point now) const;
    bool isOutOfReach(time_point now) const;
    void loseReach(time_point now);
    void regainReach(time_point now);
    bool spendFallback(const limit_amount&, const limit_share& fallback, time_point now);
    limit_amount lackOfFirstWaiting() const;
    limit_amount otherWaiting() const;
    limit_amount forecast(time_point now) const;
    bool isRenewalDue(time_point now) const;
    bool isReportDue(const limit_share&) const;
    limit_amount unsettled() const;
    lease_request_message message(
        std::uint64_t sequence, const limit_amount& needed, const limit_amount& ahead, time_point now);

    limit_amount m_held;
    time_point m_heldUntil;
    // Granted for the request that waited, which uses it at once. What it leaves lapses after maxLeaseWait.
    limit_amount m_urgent;
    time_point m_urgentUntil;
    // What the first waiting request lacked when the last message was sent.
    limit_amount m_needed;
    // Running total of use, its value in the last message, and what the owner counts as open since then.
    limit_amount m_used;
    limit_amount m_reportedUsed;
    limit_amount m_open;

    std::uint64_t m_sequence = 0;
    time_point m_sentAt;
    // Whether the last message awaits an answer, and since when the owner has not answered.
    bool m_awaitsAnswer = false;
    std::optional<time_point> m_silentSince;
    // Whether the present owner has ever answered.
    bool m_isKnownToOwner = false;
    time_point m_deniedUntil;
    time_point m_notReadyUntil;
    double m_pressure = 0;

    // Since when the owner has been out of reach, and how much of the fallback share was gathered before.
    std::optional<time_point> m_outOfReachSince;
    std::optional<limit_bucket> m_fallback;
    time_point m_reachedSince;

    decaying_amount m_demand;
    std::vector<waiting_request> m_waiting;
    time_point m_lastUseAt;
};

}
