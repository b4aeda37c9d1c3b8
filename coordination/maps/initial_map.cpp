#include "coordination/maps/initial_map.h"

#include "coordination/maps/expert_map.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <optional>

namespace sardinelb {

namespace {

// A rank with less room than this part of the mean load counts as full.
constexpr double smallestRoom = 1e-9;

class initial_map_builder {
public:
    initial_map_builder(
        const std::vector<double>& popularity, const std::vector<double>& speeds, std::uint32_t slotsPerRank)
        : m_popularity(popularity)
        , m_room(speeds)
        , m_freeSlots(speeds.size(), slotsPerRank)
        , m_freeSlotCount(speeds.size() * slotsPerRank)
        , m_unplaced(popularity.size())
    {
        const double load = std::accumulate(popularity.begin(), popularity.end(), 0.0);
        m_meanLoad = load / static_cast<double>(speeds.size());
        const double factor = load / std::accumulate(speeds.begin(), speeds.end(), 0.0);
        for (double& room : m_room)
            room *= factor;
        m_map.experts.resize(popularity.size());
    }

    expert_map build()
    {
        std::vector<std::size_t> experts(m_popularity.size());
        std::iota(experts.begin(), experts.end(), 0);
        const auto popularity = [this](std::size_t expert) { return m_popularity[expert]; };
        std::ranges::sort(experts, std::greater<>(), popularity);
        const auto small = std::ranges::find_if(experts, [&](std::size_t expert) { return popularity(expert) < m_meanLoad; });
        std::for_each(small, experts.end(), [this](std::size_t expert) { placeSmall(expert); });
        std::for_each(experts.begin(), small, [this](std::size_t expert) { placeLarge(expert); });
        fillSlots();
        for (auto& replicas : m_map.experts)
            std::ranges::sort(replicas, {}, &expert_map::replica::rank);
        return std::move(m_map);
    }

private:
    // The rank with the most room among those that can hold the expert and are accepted.
    template <typename Accept>
    std::optional<std::size_t> roomiest(std::size_t expert, Accept accept) const
    {
        std::optional<std::size_t> best;
        for (std::size_t rank = 0; rank < m_room.size(); ++rank)
            if (m_freeSlots[rank] > 0 && !holds(expert, rank) && accept(rank) && (!best || m_room[rank] > m_room[*best]))
                best = rank;
        return best;
    }

    bool holds(std::size_t expert, std::size_t rank) const
    {
        const rank_id id(static_cast<std::uint32_t>(rank));
        return std::ranges::find(m_map.experts[expert], id, &expert_map::replica::rank) != m_map.experts[expert].end();
    }

    void place(std::size_t expert, std::size_t rank, double load)
    {
        auto& replicas = m_map.experts[expert];
        m_unplaced -= replicas.empty() ? 1 : 0;
        replicas.push_back({ rank_id(static_cast<std::uint32_t>(rank)), load / m_popularity[expert] });
        m_room[rank] -= load;
        --m_freeSlots[rank];
        --m_freeSlotCount;
    }

    void placeSmall(std::size_t expert)
    {
        auto rank = roomiest(expert, [this](std::size_t candidate) { return m_freeSlots[candidate] > 1; });
        if (!rank)
            rank = roomiest(expert, [](std::size_t) { return true; });
        place(expert, *rank, m_popularity[expert]);
    }

    void placeLarge(std::size_t expert)
    {
        double left = m_popularity[expert];
        while (left > smallestRoom * m_meanLoad) {
            const bool isFirst = m_map.experts[expert].empty();
            const auto rank = isFirst || m_freeSlotCount > m_unplaced ? rankForPart(expert, left) : std::nullopt;
            if (!rank) {
                divideRest(expert, left);
                return;
            }
            const double part = std::min(left, std::max(0.0, m_room[*rank]));
            place(expert, *rank, part);
            left -= part;
            // The next expert goes on where this one ends.
            m_openRank = m_freeSlots[*rank] > 0 && hasRoom(*rank) ? rank : std::nullopt;
        }
    }

    // A rank with one free slot is taken when the expert uses it up, because nothing else could. The last part of an
    // expert goes to a rank with more free slots.
    std::optional<std::size_t> rankForPart(std::size_t expert, double left) const
    {
        if (m_openRank && !holds(expert, *m_openRank))
            return m_openRank;
        const auto used = roomiest(expert,
            [&](std::size_t rank) { return m_freeSlots[rank] == 1 && hasRoom(rank) && m_room[rank] <= left; });
        if (used)
            return used;
        const auto open
            = roomiest(expert, [this](std::size_t rank) { return m_freeSlots[rank] > 1 && hasRoom(rank); });
        return open ? open : roomiest(expert, [](std::size_t) { return true; });
    }

    bool hasRoom(std::size_t rank) const { return m_room[rank] > smallestRoom * m_meanLoad; }

    // Divides load that no rank has room for among the replicas of the expert.
    void divideRest(std::size_t expert, double left)
    {
        auto& replicas = m_map.experts[expert];
        for (auto& replica : replicas)
            replica.share += left / m_popularity[expert] / static_cast<double>(replicas.size());
    }

    // Gives the slots that are left over to the experts with the most load per replica.
    void fillSlots()
    {
        for (std::size_t rank = 0; rank < m_room.size(); ++rank)
            while (m_freeSlots[rank] > 0)
                if (const auto expert = largestWithout(rank))
                    place(*expert, rank, 0);
                else
                    break;
    }

    std::optional<std::size_t> largestWithout(std::size_t rank) const
    {
        const auto loadPerReplica = [this](std::size_t expert) {
            return m_popularity[expert] / static_cast<double>(m_map.experts[expert].size());
        };
        std::optional<std::size_t> largest;
        for (std::size_t expert = 0; expert < m_popularity.size(); ++expert)
            if (!holds(expert, rank) && (!largest || loadPerReplica(expert) > loadPerReplica(*largest)))
                largest = expert;
        return largest;
    }

    const std::vector<double>& m_popularity;
    double m_meanLoad = 0;
    // Load that each rank can still take up to the time that all ranks would need.
    std::vector<double> m_room;
    std::vector<std::uint32_t> m_freeSlots;
    std::size_t m_freeSlotCount;
    // Experts without a replica.
    std::size_t m_unplaced;
    std::optional<std::size_t> m_openRank;
    expert_map m_map;
};

}

expert_map initialMap(
    const std::vector<double>& popularity, const std::vector<double>& speeds, std::uint32_t slotsPerRank)
{
    return initial_map_builder(popularity, speeds, slotsPerRank).build();
}

}
