#pragma once

#include "expert_map/expert_placement.h"

#include <cstdint>
#include <vector>

namespace sardinelb {

// The experts of one set on the ranks of a group, with the load that follows from their popularity.
class set_placement {
public:
    // A copy that is added, a copy that makes room for it, or a copy that is only dropped.
    struct change {
        static constexpr std::size_t none = static_cast<std::size_t>(-1);

        // Rank and expert of the added copy; `none` if nothing is added.
        std::size_t rank = none;
        std::size_t added = none;
        // Expert that gives up its place on the rank; `none` if a place is free.
        std::size_t dropped = none;
        // Estimated time of the set afterwards.
        double cost = 0;
    };

    set_placement(std::vector<std::vector<expert_number>> byRank, const std::vector<double>& popularity, const std::vector<double>& speeds);

    // Estimated time of the set, relative to perfect balance: a mean of the ranks' times in which the busiest weigh most.
    double cost() const;

    // Time of the busiest rank over the mean.
    double balance() const;

    // The change that helps the busiest rank most. `mayCopyTo` says by rank whether another copy may go there.
    change best(std::uint32_t placesPerRank, const std::vector<bool>& mayCopyTo) const;

    void apply(const change&);

    const std::vector<std::vector<expert_number>>& byRank() const { return m_byRank; }

private:
    bool holds(std::size_t rank, std::size_t expert) const;
    std::size_t busiest() const;
    double partOf(std::size_t expert, std::size_t copies) const { return m_popularity[expert] / static_cast<double>(copies); }
    double steepTime(std::size_t rank, double load) const;
    double costAfter(const change&) const;
    void touch(std::size_t rank, double load) const;
    void collectMoves(const change&) const;

    std::vector<std::vector<expert_number>> m_byRank;
    std::vector<double> m_popularity;
    std::vector<double> m_speeds;
    // Ranks that hold each expert.
    std::vector<std::vector<std::size_t>> m_holders;
    std::vector<double> m_loads;
    double m_totalSpeed = 0;
    // Steep time of each rank, and the sum of them.
    std::vector<double> m_steep;
    double m_steepSum = 0;
    // Load that a change moves, by rank, and the ranks that it touches. Kept to spare allocations: a plan tries thousands of
    // changes on a small part of a core.
    mutable std::vector<double> m_moved;
    mutable std::vector<std::size_t> m_touched;
};

}
