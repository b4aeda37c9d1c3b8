#pragma once

#include "state/ids.h"
#include "state/time.h"

#include <unordered_map>

namespace sardinelb {

// Shifts demand from a group whose passes are too long for its streams to groups that are faster.
//
// Handles a slow rank: all ranks of its group wait for it in each pass, so that every stream of the group is late while other groups
// have room. Compares groups with each other, so that nothing is shifted when all are slow under load. A group returns once its passes
// are clearly shorter, or when none have been seen for a while. Pure state machine.
class group_shift {
public:
    // Records the mean duration of recent passes of a group and the longest one that its streams allow.
    void onPasses(const group_id&, double passMs, double objectiveMs, time_point now);

    // Whether requests should go to other groups while these have free slots.
    bool isAvoided(const group_id&, time_point now) const;

private:
    struct group_state {
        double passMs = 0;
        time_point at;
        bool isAvoided = false;
    };

    // Shortest mean duration of passes among the other groups with recent passes. Infinite if there are none.
    double fastestOther(const group_id&, time_point now) const;

    std::unordered_map<group_id, group_state> m_groups;
};

}
