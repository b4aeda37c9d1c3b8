#pragma once

#include "state/ids.h"
#include "state/time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace sardinelb {

// Estimates the speed of each rank of a group, relative to the median rank, from the durations of steps. Medians filter
// out single slow steps, and a dead band suppresses small changes, so that noise does not cause a new map. Pure state
// machine, not thread-safe.
class rank_speed_tracker {
public:
    explicit rank_speed_tracker(std::uint32_t rankCount);

    // Records that the rank took `busy` to process `load` tokens, not counting the wait for other ranks. A step without
    // load is ignored.
    void record(rank_id, duration busy, double load);

    // Discards the measurements of the rank. Must be called when another process takes over the rank.
    void forget(rank_id);

    // Relative speed of each rank; 1 is the speed of the median rank. Ranks with too few steps count as 1.
    std::vector<double> speeds();

    // Ranks that are so slow, as of the last call of speeds(), that they slow down the whole group.
    std::vector<rank_id> stragglers() const;

private:
    struct rank_state {
        // Ring buffer of the last rates, in tokens per microsecond.
        std::vector<double> rates;
        std::size_t next = 0;
        double reported = 1;
    };

    std::vector<rank_state> m_ranks;
};

}
