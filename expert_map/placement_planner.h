#pragma once

#include "expert_map/expert_placement.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace sardinelb {

// Plans which experts the ranks of a group should hold, by a few copies that shorten the group's passes most.
class placement_planner {
public:
    struct settings {
        // Experts of a set that a rank can hold.
        std::uint32_t placesPerRank = 0;
        // Experts of a set that may be new on a rank.
        std::uint32_t newPerRank = 0;
        // Copies to one rank in all sets together, which bounds the time until the plan is in force.
        std::uint32_t copiesPerRank = 4;
        // A copy has to shorten the time of its set by this part.
        double gainPerCopy = 0.015;
        // A plan has to shorten the passes by this part in all.
        double minimumGain = 0.03;
    };

    struct plan {
        expert_placement placement;
        std::uint32_t copies = 0;
        // Time of the busiest rank over the mean, as the mean of all sets.
        double balanceBefore = 0;
        double balanceAfter = 0;
    };

    explicit placement_planner(settings);

    // `popularity` is by set and expert, `speeds` by rank with 1 for a usual one. Returns nothing if no plan is worth it.
    std::optional<plan> improve(const expert_placement& current, const std::vector<std::vector<double>>& popularity, const std::vector<double>& speeds) const;

private:
    settings m_settings;
};

}
