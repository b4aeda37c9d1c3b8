#pragma once

#include "coordination/limits/limit_amount.h"
#include "coordination/limits/limit_share.h"
#include "state/time.h"

namespace sardinelb {

// Token bucket over tokens and requests. It fills at the rate of its share up to the burst. Part of the content may
// be lent out; content and loans together never exceed the burst.
class limit_bucket {
public:
    limit_bucket(const limit_share&, const limit_amount& level, time_point now);

    // Takes over a changed contract.
    void setShare(const limit_share&);

    // Fills the bucket for the time since the last call.
    void refill(time_point now, const limit_amount& lent);

    // Moves on without filling the bucket.
    void skipRefill(time_point now) { m_updatedAt = now; }

    // Whether the amount may be taken. An amount above the burst may be taken when the bucket is full; the level then
    // falls below zero and the rest is paid off at the rate.
    bool covers(const limit_amount&, const limit_amount& lent) const;

    void take(const limit_amount&);

    // Gives back what was taken and not used; what exceeds the burst is lost.
    void give(const limit_amount&, const limit_amount& lent);

    // Time until the amount is covered if nothing is taken in between; at most an hour.
    duration timeUntil(const limit_amount&) const;

    bool isFull(const limit_amount& lent) const;

    const limit_amount& level() const { return m_level; }
    const limit_share& share() const { return m_share; }

private:
    limit_share m_share;
    limit_amount m_level;
    time_point m_updatedAt;
};

}
