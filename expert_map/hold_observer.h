#pragma once

#include "expert_map/pass_hold.h"
#include "expert_map/rank_status.h"
#include "state/ids.h"
#include "state/time.h"

#include <cstdint>
#include <optional>

namespace sardinelb {

// Follows the holds of one rank by its reports, so that an operator sees how long a group waited and for whom. Pure state
// machine.
class hold_observer {
public:
    // This coordinator has ordered the rank to hold a pass.
    void onHoldOrdered(step_number step) { m_ownStep = step; }

    // Handles a report of the rank that holds passes. Returns the hold that ended before it, if one did.
    std::optional<pass_hold> onStatus(const rank_status&);

private:
    struct current_hold {
        step_number step;
        std::uint64_t epoch = 0;
        map_version map;
        time_point beganAt;
        std::optional<time_point> waitedSince;
    };

    std::optional<current_hold> m_hold;
    std::optional<step_number> m_ownStep;
};

}
