#include "expert_map/switch_planner.h"

#include <algorithm>
#include <limits>

namespace sardinelb {

namespace {

// From the order to prepare a map to its first pass, without the copying: orders to all ranks, twice, and their reports.
constexpr duration switchTime = std::chrono::milliseconds(350);

// Demand moves every 3 to 4 s, and a switch begins some time after that.
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
    const double until = std::min(lifetime, seconds(switchTime + m_copyTime * copiesPerRank));
    return (until * plan.balanceBefore + (lifetime - until) * plan.balanceAfter) / lifetime;
}

std::optional<placement_planner::plan> switch_planner::plan(const expert_placement& current, const std::vector<std::vector<double>>& popularity, const std::vector<double>& speeds) const
{
    std::optional<placement_planner::plan> best;
    double shortest = std::numeric_limits<double>::infinity();
    for (std::uint32_t copies = 1; copies <= m_limits.copiesPerRank; copies *= 2) {
        placement_planner::settings limits = m_limits;
        limits.copiesPerRank = copies;
        auto candidate = placement_planner(limits).improve(current, popularity, speeds);
        if (!candidate)
            continue;
        const double mean = meanBalance(*candidate, copies);
        if (mean >= shortest)
            continue;
        shortest = mean;
        best = std::move(candidate);
    }
    return best;
}

}
