#include "coordination/limits/limit_bucket.h"

#include <algorithm>

namespace sardinelb {

namespace {

constexpr double maxWaitSeconds = 3600;
// Accumulated rounding errors stay far below this fraction of a token or request.
constexpr double roundingTolerance = 1e-6;

double secondsUntil(double wanted, double level, double rate)
{
    if (level >= wanted)
        return 0;
    if (rate <= 0)
        return maxWaitSeconds;
    return std::min(maxWaitSeconds, (wanted - level) / rate);
}

double filled(double level, double gain, double bound)
{
    // A level above the bound, as after a reduction of the contract, does not rise but is not lowered here either.
    return std::max(level, std::min(level + gain, bound));
}

}

limit_bucket::limit_bucket(const limit_share& share, const limit_amount& level, time_point now)
    : m_share(share)
    , m_level(componentwiseMin(level, share.burst))
    , m_updatedAt(now)
{
}

void limit_bucket::setShare(const limit_share& share)
{
    m_share = share;
    m_level = componentwiseMin(m_level, share.burst);
}

void limit_bucket::refill(time_point now, const limit_amount& leased)
{
    if (now <= m_updatedAt)
        return;
    const double seconds = std::chrono::duration<double>(now - m_updatedAt).count();
    m_updatedAt = now;
    give(m_share.rate * seconds, leased);
}

bool limit_bucket::covers(const limit_amount& wanted, const limit_amount& leased) const
{
    const limit_amount full = m_share.burst - leased;
    const double tokens = wanted.tokens > m_share.burst.tokens ? full.tokens : wanted.tokens;
    const double requests = wanted.requests > m_share.burst.requests ? full.requests : wanted.requests;
    return m_level.tokens + roundingTolerance >= tokens && m_level.requests + roundingTolerance >= requests;
}

bool limit_bucket::isFull(const limit_amount& leased) const
{
    const limit_amount missing = m_share.burst - leased - m_level;
    return missing.tokens <= roundingTolerance && missing.requests <= roundingTolerance;
}

void limit_bucket::take(const limit_amount& amount)
{
    m_level -= amount;
}

void limit_bucket::give(const limit_amount& amount, const limit_amount& leased)
{
    const limit_amount bound = m_share.burst - leased;
    m_level.tokens = filled(m_level.tokens, amount.tokens, bound.tokens);
    m_level.requests = filled(m_level.requests, amount.requests, bound.requests);
}

duration limit_bucket::timeUntil(const limit_amount& wanted) const
{
    const limit_amount reachable = componentwiseMin(wanted, m_share.burst);
    const double tokens = secondsUntil(reachable.tokens, m_level.tokens, m_share.rate.tokens);
    const double requests = secondsUntil(reachable.requests, m_level.requests, m_share.rate.requests);
    return std::chrono::ceil<duration>(std::chrono::duration<double>(std::max(tokens, requests)));
}

}
