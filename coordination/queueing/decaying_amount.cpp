#include "coordination/queueing/decaying_amount.h"

#include <cmath>

namespace sardinelb {

namespace {

double ratioOf(duration part, duration whole)
{
    return static_cast<double>(part.count()) / static_cast<double>(whole.count());
}

}

void decaying_amount::add(const limit_amount& amount, time_point now)
{
    m_sum = at(now) + amount;
    m_updatedAt = now;
}

limit_amount decaying_amount::at(time_point now) const
{
    return m_sum * std::exp(-ratioOf(now - m_updatedAt, m_timeConstant));
}

limit_amount decaying_amount::expectedWithin(duration span, time_point now) const
{
    return at(now) * ratioOf(span, m_timeConstant);
}

}
