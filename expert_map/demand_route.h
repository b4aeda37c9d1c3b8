#pragma once

#include "state/ids.h"
#include "state/time.h"

#include <algorithm>
#include <cstdint>

namespace sardinelb {

// How the demand of a group reaches its coordinator: each rank sends to a collector, which sums the reports of its ranks
// and sends the sum to the coordinator. A small group has no collectors.
struct demand_route {
    std::uint32_t groupSize = 1;
    // Number of consecutive ranks that share a collector. 1 if all ranks report to the coordinator.
    std::uint32_t ranksPerCollector = 1;
    // Time between two reports of a rank or a collector.
    duration interval {};

    // The rank that collects the reports of `rank`; a rank that is its own collector reports to the coordinator. It is the
    // last rank of a block, because the lowest ranks coordinate the group.
    rank_id collectorOf(rank_id rank) const
    {
        const std::uint32_t block = rank.value() / ranksPerCollector;
        return rank_id(std::min((block + 1) * ranksPerCollector, groupSize) - 1);
    }
};

// Chooses the route such that reports of `reportBytes` from a group take at most `bytesPerSecond` at the coordinator and at
// each collector.
demand_route chooseDemandRoute(std::uint32_t groupSize, std::size_t reportBytes, double bytesPerSecond);

}
