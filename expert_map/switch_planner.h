#pragma once

#include "expert_map/placement_planner.h"
#include "state/time.h"

#include <optional>
#include <vector>

namespace sardinelb {

// Plans the next switch of a group's map, for demand that shifts to other experts every few seconds. A plan with more copies
// fits the demand better, but takes longer to copy, and the group keeps using the current map until then.
class switch_planner {
public:
    // `limits.copiesPerRank` is the maximum considered. `copyTime` is the time to copy one expert to one rank.
    switch_planner(placement_planner::settings limits, duration copyTime);

    // Returns the plan that minimizes the average pass time of the next seconds, or nothing if none is worth a switch.
    std::optional<placement_planner::plan> plan(const expert_placement& current, const std::vector<std::vector<double>>& popularity, const std::vector<double>& speeds) const;

private:
    double meanBalance(const placement_planner::plan&, std::uint32_t copiesPerRank) const;

    placement_planner::settings m_limits;
    duration m_copyTime;
};

}
