#pragma once

#include "coordination/limits/limit_amount.h"
#include "coordination/limits/limit_share.h"
#include "state/time.h"

namespace sardinelb {

// Token bucket for tokens and requests. It fills at the rate of its share up to the burst. Part of the burst may be
// leased out; level and leased amount together never exceed the burst.
class limit_bucket {
public:
    limit_bucket(const limit_share&, const limit_amount& level, time_point now);

    // Applies a changed contract.
    void setShare(const limit_share&);

    // Refills the bucket for the time since the last call.
    void refill(time_point now, const limit_amount& leased);

    // Advances the time without refilling the bucket.
    void skipRefill(time_point now) { m_updatedAt = now; }

    // Whether the amount may be taken. An amount above the burst may be taken from a full bucket; the level then
    // becomes negative and recovers at the rate.
    bool covers(const limit_amount&, const limit_amount& leased) const;

    void take(const limit_amount&);

    // Returns an amount that was taken and not used; the excess above the burst is lost.
    void give(const limit_amount&, const limit_amount& leased);

    // Time until the amount is covered if nothing else is taken; at most an hour.
    duration timeUntil(const limit_amount&) const;

    bool isFull(const limit_amount& leased) const;

    const limit_amount& level() const { return m_level; }
    const limit_share& share() const { return m_share; }

private:
    limit_share m_share;
    limit_amount m_level;
    time_point m_updatedAt;
};

}
