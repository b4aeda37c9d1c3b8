#include "expert_map/switch_planner.h"

#include <algorithm>
#include <limits>

namespace sardinelb {

namespace {

// Time from the prepare order to the first pass with the map, without the copying: two rounds of orders to all ranks and
// their reports.
constexpr duration switchTime = std::chrono::milliseconds(350);

// Time for which a plan fits the demand. Demand shifts every 3 to 4 s, and a switch begins some time after a shift.
constexpr duration demandLifetime = std::chrono::seconds(2);

double seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

}

switch_planner::switch_planner(placement_planner::settings limits, duration copyTime)
    : m_limits(limits)
    , m_copyTime(copyTime)
{
}

double switch_planner::meanBalance(const placement_planner::plan& plan, std::uint32_t copiesPerRank) const
{
    const double lifetime = seconds(demandLifetime);
    const double activation = std::min(lifetime, seconds(switchTime + m_copyTime * copiesPerRank));
    return (activation * plan.balanceBefore + (lifetime - activation) * plan.balanceAfter) / lifetime;
}

std::optional<placement_planner::plan> switch_planner::plan(const expert_placement& current, const std::vector<std::vector<double>>& popularity, const std::vector<double>& speeds) const
{
    std::optional<placement_planner::plan> best;
    double lowestMean = std::numeric_limits<double>::infinity();
    for (std::uint32_t copiesPerRank = 1; copiesPerRank <= m_limits.copiesPerRank; copiesPerRank *= 2) {
        placement_planner::settings limits = m_limits;
        limits.copiesPerRank = copiesPerRank;
        auto candidate = placement_planner(limits).improve(current, popularity, speeds);
        if (!candidate)
            continue;
        const double mean = meanBalance(*candidate, copiesPerRank);
        if (mean >= lowestMean)
            continue;
        lowestMean = mean;
        best = std::move(candidate);
    }
    return best;
}

}
