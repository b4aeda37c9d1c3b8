#pragma once

#include "state/ids.h"
#include "state/time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace sardinelb {

// Estimates how fast each rank of a group works, relative to the median rank, from the times that steps took. Medians
// keep single slow steps from counting, and small changes are not reported, so that noise causes no new map. Pure state
// machine; not safe for use from several threads.
class rank_speed_tracker {
public:
    explicit rank_speed_tracker(std::uint32_t rankCount);

    // Records that the rank worked for `busy`, without the wait for other ranks, on `load` tokens. A step without load
    // is ignored.
    void record(rank_id, duration busy, double load);

    // Forgets what is known of the rank. Call it when another process takes the rank over.
    void forget(rank_id);

    // Speed of each rank; 1 is that of the median rank. Ranks with too few steps count as 1.
    std::vector<double> speeds();

    // Ranks that the last speeds() found so slow that they hold back the group.
    std::vector<rank_id> stragglers() const;

private:
    struct rank_state {
        // The last rates in tokens per microsecond, in a ring.
        std::vector<double> rates;
        std::size_t next = 0;
        double reported = 1;
    };

    std::vector<rank_state> m_ranks;
};

}
