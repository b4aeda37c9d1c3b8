#include "coordination/limits/limit_ownership.h"

#include "coordination/limits/limit_shard.h"
#include "state/name_digest.h"

#include <cstdint>

namespace sardinelb {

daemon_id ownerOf(const limit_shard& shard, const std::vector<daemon_id>& live)
{
    const std::uint64_t seed = nameDigest(shard.team.value(), shard.index);
    const daemon_id* best = nullptr;
    std::uint64_t bestScore = 0;
    for (const daemon_id& candidate : live) {
        const std::uint64_t score = nameDigest(candidate.value(), seed);
        // Equal hashes are resolved by the smaller id, so that the order of the list does not matter.
        const bool isBetter = !best || score > bestScore || (score == bestScore && candidate < *best);
        if (!isBetter)
            continue;
        best = &candidate;
        bestScore = score;
    }
    return best ? *best : daemon_id();
}

daemon_id ownerOf(const team_id& team, const std::vector<daemon_id>& live)
{
    return ownerOf(limit_shard { team, 0 }, live);
}

}
