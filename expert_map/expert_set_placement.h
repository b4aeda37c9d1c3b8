#pragma once

#include "expert_map/expert_placement.h"

#include <cstdint>
#include <vector>

namespace sardinelb {

// Placement of one expert set on the ranks of a group, with the load that results from the experts' popularity.
class expert_set_placement {
public:
    // Adds a copy to a rank, replaces a copy on it, or drops a copy from it.
    struct change {
        static constexpr std::size_t none = static_cast<std::size_t>(-1);

        // Rank that is changed.
        std::size_t rank = none;
        // Expert that is copied to the rank; `none` if the change only drops one.
        std::size_t added = none;
        // Expert that is removed from the rank; `none` if the rank can hold another expert.
        std::size_t dropped = none;
        // Value of cost() after the change.
        double cost = 0;
    };

    expert_set_placement(std::vector<std::vector<expert_number>> byRank, const std::vector<double>& popularity, const std::vector<double>& speeds);

    // Estimated time of the set relative to perfect balance: a power mean of the ranks' times, dominated by the busiest ranks.
    double cost() const;

    // Time of the busiest rank relative to the mean.
    double balance() const;

    // The change with the lowest cost among those that relieve the busiest rank. `canCopyTo` tells by rank whether it can
    // take another copy.
    change bestChange(std::uint32_t expertsPerRank, const std::vector<bool>& canCopyTo) const;

    void apply(const change&);

    const std::vector<std::vector<expert_number>>& byRank() const { return m_byRank; }

private:
    bool holds(std::size_t rank, std::size_t expert) const;
    std::size_t busiestRank() const;
    // Ranks that can take a copy and are less busy than `from`; only the least busy ones in a large group.
    std::vector<std::size_t> leastBusyRanks(std::size_t from, const std::vector<bool>& canCopyTo) const;
    double loadPerCopy(std::size_t expert, std::size_t copies) const { return m_popularity[expert] / static_cast<double>(copies); }
    double timePower(std::size_t rank, double load) const;
    double costAfter(const change&) const;
    void addLoadChange(std::size_t rank, double load) const;
    void computeLoadChanges(const change&) const;

    std::vector<std::vector<expert_number>> m_byRank;
    std::vector<double> m_popularity;
    std::vector<double> m_speeds;
    // Ranks that hold each expert.
    std::vector<std::vector<std::size_t>> m_holders;
    std::vector<double> m_loads;
    double m_totalSpeed = 0;
    // Power of each rank's time, as in the power mean, and their sum.
    std::vector<double> m_timePowers;
    double m_timePowerSum = 0;
    // Load difference that a change causes, by rank, and the ranks affected. Members in order to avoid allocations: a plan
    // tries thousands of changes with only a small fraction of a core.
    mutable std::vector<double> m_loadChanges;
    mutable std::vector<std::size_t> m_changedRanks;
};

}
