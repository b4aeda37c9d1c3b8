#pragma once

#include "coordination/maps/map_planner_settings.h"
#include "coordination/maps/replica_placement.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace sardinelb {

// Improves a placement by local search: each step adds a replica of an expert from overloaded ranks to a rank with
// spare time, in a free slot or in place of another replica. Each step evaluates a few candidates and applies the best.
class placement_search {
public:
    // `moveBudget` is the maximum number of replicas placed on new ranks.
    placement_search(replica_placement, const map_planner_settings&, std::uint32_t moveBudget);

    // Runs until the target balance is reached, the budget is used up, or no candidate is an improvement.
    void run();

    const replica_placement& placement() const { return m_placement; }

private:
    struct candidate {
        replica_placement placement;
        // Load above the target level, summed over all ranks.
        double excess;
        // Ranks that have to load an expert.
        std::vector<std::size_t> loadingRanks;
    };

    // A rank and the load that a new replica could take there.
    struct rank_capacity {
        std::size_t rank;
        double load;
        // The same if the other replicas of the replaced expert take none of its load.
        double loadWithoutTransfer;
        // Expert whose replica is replaced; nothing if a slot is free.
        std::optional<std::size_t> replacedExpert;
        // Whether the replaced replica is the only one of its expert and must be moved to another rank.
        bool isExchange;
    };

    // Limits the candidates of one step: up to `experts` experts, each on up to twice `ranks` ranks.
    struct search_width {
        std::size_t experts;
        std::size_t ranks;
    };

    static constexpr search_width narrow { 3, 4 };
    // Used when the narrow search finds no improvement.
    static constexpr search_width wide { 8, 8 };

    bool tryImprove(const search_width&);
    void keepBetter(std::optional<candidate>& best, const std::optional<candidate>& tried) const;
    std::vector<std::size_t> overloadedExperts(std::size_t count) const;
    double spareTime(std::size_t rank) const;
    std::vector<double> spareTimeOfExperts() const;
    std::optional<rank_capacity> capacityOn(std::size_t rank, const std::vector<double>& spareOfExperts) const;
    std::vector<rank_capacity> ranksWithMostCapacity(std::size_t count) const;
    std::optional<candidate> tryAdding(std::size_t expert, const rank_capacity&) const;
    std::optional<candidate> tryExchanging(std::size_t expert, const rank_capacity&) const;
    candidate evaluate(replica_placement, std::vector<std::size_t> loadingRanks) const;
    std::vector<std::size_t> ranksToVacate(std::size_t expert, std::size_t replacedExpert) const;

    replica_placement m_placement;
    map_planner_settings m_settings;
    // Time above which the load of a rank counts as excess, relative to the mean time.
    double m_targetLevel = 1;
    std::uint32_t m_movesLeft;
    // Number of experts that each rank can still load.
    std::vector<std::uint32_t> m_stagingLeft;
};

}
