#pragma once

#include "expert_map/expert_placement.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

namespace sardinelb {

// Plans which experts the ranks of a group should hold: selects the few copies that shorten the group's passes most.
class placement_planner {
public:
    struct settings {
        // Maximum number of experts of one set that a rank can hold.
        std::uint32_t expertsPerRank = 0;
        // Maximum number of experts of one set that a plan may add to a rank.
        std::uint32_t newExpertsPerRank = 0;
        // Maximum number of copies to one rank over all sets, which bounds the time until the new map is in use.
        std::uint32_t copiesPerRank = 4;
        // Maximum number of copies to all ranks, which bounds the size of the orders. Those that gain most come first.
        std::uint32_t copies = std::numeric_limits<std::uint32_t>::max();
        // Minimum relative reduction of its set's time that justifies a copy.
        double gainPerCopy = 0.015;
        // Minimum relative reduction of the pass time that justifies a plan.
        double minimumGain = 0.03;
    };

    struct plan {
        expert_placement placement;
        std::uint32_t copies = 0;
        // Time of the busiest rank relative to the mean of the ranks, averaged over all sets.
        double balanceBefore = 0;
        double balanceAfter = 0;
    };

    explicit placement_planner(settings);

    // `popularity` is by set and expert, `speeds` is by rank, where 1 is normal. Returns nothing if no plan reaches
    // `minimumGain`.
    std::optional<plan> improve(const expert_placement& current, const std::vector<std::vector<double>>& popularity, const std::vector<double>& speeds) const;

private:
    settings m_settings;
};

}
