#pragma once

#include "coordination/maps/expert_map.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace sardinelb {

// Replicas of all experts with the load that each one carries. Loads are relative to the speeds: a rank with load
// equal to its speed takes the mean time. Kept in flat arrays, because the search for better placements copies it often.
class replica_placement {
public:
    // `popularity` is by expert and `speeds` by rank; both are relative and above 0. No expert has a replica yet.
    replica_placement(std::vector<double> popularity, std::vector<double> speeds, std::uint32_t slotsPerRank);

    // Takes over the replicas and shares of a map for the same experts and ranks, at most `slotsPerRank` to a rank.
    void assign(const expert_map&);

    // Adds a replica that carries no load, or all of it if it is the first. The rank has a free slot and no replica of
    // the expert.
    void add(std::size_t expert, std::size_t rank);

    // Removes a replica that is not the only one; its load goes to the others of the expert.
    void remove(std::size_t expert, std::size_t rank);

    // Moves a replica with its load. The rank `to` has a free slot and no replica of the expert.
    void relocate(std::size_t expert, std::size_t from, std::size_t to);

    // Divides the load of each expert among its replicas so that the busiest ranks get less. Ends when a sweep over
    // all experts changes little, or after `maximumSweeps`.
    void share(int maximumSweeps);

    // Time of the busiest rank, relative to the mean.
    double balance() const;

    // Load above `level` times the speed, summed over all ranks.
    double excess(double level) const;

    std::size_t expertCount() const { return m_popularity.size(); }
    std::size_t rankCount() const { return m_speeds.size(); }
    double popularity(std::size_t expert) const { return m_popularity[expert]; }
    double speed(std::size_t rank) const { return m_speeds[rank]; }
    double load(std::size_t rank) const { return m_loads[rank]; }
    // Time of the rank, relative to the mean.
    double time(std::size_t rank) const { return m_loads[rank] / m_speeds[rank]; }
    std::size_t freeSlots(std::size_t rank) const { return m_slotsPerRank - m_held[rank]; }
    std::size_t replicaCount(std::size_t expert) const { return slotsOf(expert).size(); }
    bool holds(std::size_t expert, std::size_t rank) const;

    // Load that the replica carries; 0 when there is none.
    double replicaLoad(std::size_t expert, std::size_t rank) const;

    // Experts that the rank holds. Valid until a replica is added, removed or relocated.
    std::span<const std::uint32_t> heldBy(std::size_t rank) const;

    // Ranks that hold the expert.
    std::vector<std::size_t> ranksOf(std::size_t expert) const;

    // The map, with version 0.
    expert_map toMap() const;

private:
    std::size_t rankOf(std::size_t slot) const { return slot / m_slotsPerRank; }
    std::span<const std::uint32_t> slotsOf(std::size_t expert) const;
    std::size_t slotOf(std::size_t expert, std::size_t rank) const;
    void put(std::size_t expert, std::size_t rank, double load);
    double take(std::size_t expert, std::size_t rank);
    void indexSlots();
    void shareExpert(std::size_t expert);

    std::vector<double> m_popularity;
    std::vector<double> m_speeds;
    std::size_t m_slotsPerRank;
    // By rank.
    std::vector<double> m_loads;
    std::vector<std::uint32_t> m_held;
    // By slot. The slots of a rank are adjacent, and those in use come first.
    std::vector<std::uint32_t> m_slotExpert;
    std::vector<double> m_slotLoad;
    // Slots in order of expert, and where those of each expert begin.
    std::vector<std::uint32_t> m_slotsByExpert;
    std::vector<std::uint32_t> m_firstOfExpert;
};

}
