#pragma once

#include "coordination/limits/limit_amount.h"
#include "state/time.h"

namespace sardinelb {

// Sum of amounts whose weights decay exponentially with age. The sum divided by the time constant estimates a rate.
class decaying_amount {
public:
    explicit decaying_amount(duration timeConstant)
        : m_timeConstant(timeConstant)
    {
    }

    void add(const limit_amount&, time_point now);

    limit_amount at(time_point now) const;

    // Amount expected within the time span at the estimated rate.
    limit_amount expectedWithin(duration, time_point now) const;

private:
    duration m_timeConstant;
    limit_amount m_sum;
    time_point m_updatedAt;
};

}
