#pragma once

#include "expert_map/placement_planner.h"
#include "state/time.h"

#include <optional>
#include <vector>

namespace sardinelb {

// Plans the next switch of a group's map. A plan with more copies fits the demand better, but the group works longer under
// the map that it replaces. Answers demand that moves to other experts every few seconds.
class switch_planner {
public:
    // `limits.copiesPerRank` is the most that is considered. `copyTime` is for one expert to one rank.
    switch_planner(placement_planner::settings limits, duration copyTime);

    // Returns the plan under which the passes of the next seconds are shortest, or nothing if none is worth a switch.
    std::optional<placement_planner::plan> plan(const expert_placement& current, const std::vector<std::vector<double>>& popularity, const std::vector<double>& speeds) const;

private:
    double meanBalance(const placement_planner::plan&, std::uint32_t copiesPerRank) const;

    placement_planner::settings m_limits;
    duration m_copyTime;
};

}
