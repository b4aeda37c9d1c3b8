#pragma once

#include "coordination/maps/expert_map.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace sardinelb {

// Replicas of all experts and the load of each. Loads and speeds are scaled so that a rank whose load equals its speed
// takes the mean time. Stored in flat arrays, because the search for better placements copies it often.
class replica_placement {
public:
    // Starts without replicas. `popularity` is indexed by expert and `speeds` by rank; both are relative and above 0.
    replica_placement(std::vector<double> popularity, std::vector<double> speeds, std::uint32_t slotsPerRank);

    // Copies the replicas and shares of a map for the same experts and ranks, with at most `slotsPerRank` per rank.
    // Must be called on an empty placement.
    void assign(const expert_map&);

    // Adds a replica without load, or with the whole load of the expert if it is the first. The rank must have a free
    // slot and no replica of the expert.
    void add(std::size_t expert, std::size_t rank);

    // Removes a replica and divides its load among the others of the expert. It must not be the only one.
    void remove(std::size_t expert, std::size_t rank);

    // Moves a replica with its load. The rank `to` must have a free slot and no replica of the expert.
    void relocate(std::size_t expert, std::size_t from, std::size_t to);

    // Redistributes the load of each expert among its replicas to relieve the busiest ranks. Stops when a sweep over
    // all experts changes little, or after `maxSweeps`.
    void distributeLoads(int maxSweeps);

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
    std::size_t freeSlots(std::size_t rank) const { return m_slotsPerRank - m_usedSlots[rank]; }
    std::size_t replicaCount(std::size_t expert) const { return slotsOf(expert).size(); }
    bool holds(std::size_t expert, std::size_t rank) const;

    // Load of the replica; 0 if there is none.
    double replicaLoad(std::size_t expert, std::size_t rank) const;

    // Experts that the rank holds. Invalidated when a replica is added, removed or relocated.
    std::span<const std::uint32_t> expertsOn(std::size_t rank) const;

    std::vector<std::size_t> ranksOf(std::size_t expert) const;

    // Converts the placement to a map with version 0.
    expert_map toMap() const;

private:
    std::size_t rankOf(std::size_t slot) const { return slot / m_slotsPerRank; }
    std::span<const std::uint32_t> slotsOf(std::size_t expert) const;
    std::size_t slotOf(std::size_t expert, std::size_t rank) const;
    void insertReplica(std::size_t expert, std::size_t rank, double load);
    double extractReplica(std::size_t expert, std::size_t rank);
    void indexSlots();
    void distributeLoadOf(std::size_t expert);

    std::vector<double> m_popularity;
    std::vector<double> m_speeds;
    std::size_t m_slotsPerRank;
    // By rank.
    std::vector<double> m_loads;
    std::vector<std::uint32_t> m_usedSlots;
    // By slot. The slots of a rank are adjacent, and those in use come first.
    std::vector<std::uint32_t> m_slotExpert;
    std::vector<double> m_slotLoad;
    // Slots sorted by expert, and the index of the first slot of each expert.
    std::vector<std::uint32_t> m_slotsByExpert;
    std::vector<std::uint32_t> m_firstOfExpert;
};

}
