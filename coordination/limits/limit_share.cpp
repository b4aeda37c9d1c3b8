#include "coordination/limits/limit_share.h"

#include "state/derived_limits.h"

#include <algorithm>
#include <bit>

namespace sardinelb {

namespace {

// Minimum number of entries served by one shard, so that their demands average out.
constexpr std::size_t daemonsPerShard = 4;
constexpr std::size_t minDaemonsToSplit = 16;

}

limit_share wholeShare(const derived_limits& limits)
{
    const limit_amount rate { static_cast<double>(limits.tokensPerSecond.value()), limits.requestsPerSecond };
    const limit_amount burst { static_cast<double>(limits.burst.value()), limits.requestBurst };
    return { rate, burst };
}

std::uint32_t shardCount(const derived_limits& limits, std::size_t daemons)
{
    if (daemons < minDaemonsToSplit)
        return 1;
    const auto bound = static_cast<std::uint32_t>(std::bit_floor(daemons / daemonsPerShard));
    return std::max(1U, std::min(limits.limitShards, bound));
}

limit_share shareOfShard(const derived_limits& limits, std::size_t daemons)
{
    const limit_share whole = wholeShare(limits);
    const double fraction = 1.0 / shardCount(limits, daemons);
    return { whole.rate * fraction, whole.burst * fraction };
}

}
