#pragma once

#include "coordination/maps/map_planner_settings.h"
#include "coordination/maps/replica_placement.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace sardinelb {

// Improves a placement step by step: a step brings a replica of an expert on overloaded ranks to a rank with spare
// time, where it replaces another one. Each step takes the best of a few changes that are tried.
class placement_search {
public:
    // `moveBudget` bounds the replicas that are brought to other ranks.
    placement_search(replica_placement, const map_planner_settings&, std::uint32_t moveBudget);

    // Goes on until the target balance is reached, the budget is used up, or no change that is tried helps.
    void run();

    const replica_placement& placement() const { return m_placement; }

private:
    struct candidate {
        replica_placement placement;
        // Load above the target level.
        double excess;
        std::vector<std::size_t> ranksThatLoad;
    };

    // A rank and the load that a new replica could take on there.
    struct room {
        std::size_t rank;
        double load;
        // The part of the load for which the replica that gives way need not pass on any.
        double undisturbedLoad;
        // Expert whose replica gives way; nothing when a slot is free.
        std::optional<std::size_t> replaced;
        // Whether the replica that gives way is the only one of its expert, which then needs a place elsewhere.
        bool isExchange;
    };

    // What is tried in one step: this many experts, on twice as many ranks.
    struct width {
        std::size_t experts;
        std::size_t ranks;
    };

    static constexpr width narrow { 3, 4 };
    // For when that does not help.
    static constexpr width wide { 8, 8 };

    bool improve(const width&);
    void keepBetter(std::optional<candidate>& best, const std::optional<candidate>& tried) const;
    std::vector<std::size_t> overloadedExperts(std::size_t count) const;
    double spareTime(std::size_t rank) const;
    std::vector<double> spareTimeOfExperts() const;
    std::optional<room> roomOn(std::size_t rank, const std::vector<double>& spareOfExperts) const;
    std::vector<room> roomiestRanks(std::size_t count) const;
    std::optional<candidate> tryAdding(std::size_t expert, const room&) const;
    std::optional<candidate> tryExchanging(std::size_t expert, const room&) const;
    candidate evaluated(replica_placement, std::vector<std::size_t> ranksThatLoad) const;
    std::vector<std::size_t> ranksToVacate(std::size_t expert, std::size_t replaced) const;

    replica_placement m_placement;
    map_planner_settings m_settings;
    // Level above which load counts as excess.
    double m_level = 1;
    std::uint32_t m_movesLeft;
    // Experts that each rank can still load.
    std::vector<std::uint32_t> m_stagingLeft;
};

}
