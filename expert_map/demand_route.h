#pragma once

#include "state/time.h"

#include <algorithm>
#include <cstdint>

namespace sardinelb {

// How the demand of a group reaches its coordinator: each rank sends to a collector, which sums the reports of its ranks
// and sends the sum to the coordinator. A small group has no collectors. Positions count the ranks in the order of the
// coordinator, in which ranks of the same availability zone stand together, so that most reports stay in their zone.
struct demand_route {
    std::uint32_t groupSize = 1;
    // Number of consecutive positions that share a collector. 1 if all ranks report to the coordinator.
    std::uint32_t ranksPerCollector = 1;
    // Time between two reports of a rank or a collector.
    duration interval {};

    // The position that collects the reports of `position`; one that is its own collector reports to the coordinator. It is
    // the last one of a block, because the lowest ranks coordinate the group.
    std::uint32_t collectorOf(std::uint32_t position) const
    {
        const std::uint32_t block = position / ranksPerCollector;
        return std::min((block + 1) * ranksPerCollector, groupSize) - 1;
    }
};

// Chooses the route such that reports of `reportBytes` from a group take at most `bytesPerSecond` at the coordinator and at
// each collector.
demand_route chooseDemandRoute(std::uint32_t groupSize, std::size_t reportBytes, double bytesPerSecond);

}
