#include "coordination/maps/initial_map.h"

#include "coordination/maps/expert_map.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <optional>

namespace sardinelb {

namespace {

// A rank whose remaining capacity is below this fraction of the mean load counts as full.
constexpr double minRelativeCapacity = 1e-9;

class initial_map_builder {
public:
    initial_map_builder(
        const std::vector<double>& popularity, const std::vector<double>& speeds, std::uint32_t slotsPerRank)
        : m_popularity(popularity)
        , m_remainingCapacity(speeds)
        , m_freeSlots(speeds.size(), slotsPerRank)
        , m_freeSlotCount(speeds.size() * slotsPerRank)
        , m_unplacedExpertCount(popularity.size())
    {
        const double load = std::accumulate(popularity.begin(), popularity.end(), 0.0);
        m_meanLoad = load / static_cast<double>(speeds.size());
        const double factor = load / std::accumulate(speeds.begin(), speeds.end(), 0.0);
        for (double& capacity : m_remainingCapacity)
            capacity *= factor;
        m_map.experts.resize(popularity.size());
    }

    expert_map build()
    {
        std::vector<std::size_t> experts(m_popularity.size());
        std::iota(experts.begin(), experts.end(), 0);
        const auto popularity = [this](std::size_t expert) { return m_popularity[expert]; };
        std::ranges::sort(experts, std::greater<>(), popularity);
        const auto firstSmall = std::ranges::find_if(experts, [&](std::size_t expert) { return popularity(expert) < m_meanLoad; });
        std::for_each(firstSmall, experts.end(), [this](std::size_t expert) { placeWhole(expert); });
        std::for_each(experts.begin(), firstSmall, [this](std::size_t expert) { placeSplit(expert); });
        fillFreeSlots();
        for (auto& replicas : m_map.experts)
            std::ranges::sort(replicas, {}, &expert_map::replica::rank);
        return std::move(m_map);
    }

private:
    // The rank with the most remaining capacity among those that can hold the expert and satisfy `accept`.
    template <typename Accept>
    std::optional<std::size_t> rankWithMostCapacity(std::size_t expert, Accept accept) const
    {
        std::optional<std::size_t> best;
        for (std::size_t rank = 0; rank < m_remainingCapacity.size(); ++rank)
            if (m_freeSlots[rank] > 0 && !holds(expert, rank) && accept(rank) && (!best || m_remainingCapacity[rank] > m_remainingCapacity[*best]))
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
        m_unplacedExpertCount -= replicas.empty() ? 1 : 0;
        replicas.push_back({ rank_id(static_cast<std::uint32_t>(rank)), load / m_popularity[expert] });
        m_remainingCapacity[rank] -= load;
        --m_freeSlots[rank];
        --m_freeSlotCount;
    }

    void placeWhole(std::size_t expert)
    {
        auto rank = rankWithMostCapacity(expert, [this](std::size_t candidate) { return m_freeSlots[candidate] > 1; });
        if (!rank)
            rank = rankWithMostCapacity(expert, [](std::size_t) { return true; });
        place(expert, *rank, m_popularity[expert]);
    }

    void placeSplit(std::size_t expert)
    {
        double remaining = m_popularity[expert];
        while (remaining > minRelativeCapacity * m_meanLoad) {
            const bool isFirst = m_map.experts[expert].empty();
            const auto rank = isFirst || m_freeSlotCount > m_unplacedExpertCount ? rankForPart(expert, remaining) : std::nullopt;
            if (!rank) {
                divideRemainder(expert, remaining);
                return;
            }
            const double part = std::min(remaining, std::max(0.0, m_remainingCapacity[*rank]));
            place(expert, *rank, part);
            remaining -= part;
            // The next expert continues on the rank that this one has filled only in part.
            m_partlyFilledRank = m_freeSlots[*rank] > 0 && hasCapacity(*rank) ? rank : std::nullopt;
        }
    }

    // Chooses the rank for the next part of a split expert. A rank with one free slot is chosen only if the part uses
    // up its capacity, because no further expert can be placed there. The last part of an expert therefore goes to a
    // rank with several free slots.
    std::optional<std::size_t> rankForPart(std::size_t expert, double remaining) const
    {
        if (m_partlyFilledRank && !holds(expert, *m_partlyFilledRank))
            return m_partlyFilledRank;
        const auto exhausted = rankWithMostCapacity(expert,
            [&](std::size_t rank) { return m_freeSlots[rank] == 1 && hasCapacity(rank) && m_remainingCapacity[rank] <= remaining; });
        if (exhausted)
            return exhausted;
        const auto open
            = rankWithMostCapacity(expert, [this](std::size_t rank) { return m_freeSlots[rank] > 1 && hasCapacity(rank); });
        return open ? open : rankWithMostCapacity(expert, [](std::size_t) { return true; });
    }

    bool hasCapacity(std::size_t rank) const { return m_remainingCapacity[rank] > minRelativeCapacity * m_meanLoad; }

    // Divides load that exceeds the capacity of all ranks evenly among the replicas of the expert.
    void divideRemainder(std::size_t expert, double remaining)
    {
        auto& replicas = m_map.experts[expert];
        for (auto& replica : replicas)
            replica.share += remaining / m_popularity[expert] / static_cast<double>(replicas.size());
    }

    // Fills the remaining slots with spare replicas of the experts with the most load per replica.
    void fillFreeSlots()
    {
        for (std::size_t rank = 0; rank < m_remainingCapacity.size(); ++rank)
            while (m_freeSlots[rank] > 0)
                if (const auto expert = mostLoadedExpertNotOn(rank))
                    place(*expert, rank, 0);
                else
                    break;
    }

    std::optional<std::size_t> mostLoadedExpertNotOn(std::size_t rank) const
    {
        const auto loadPerReplica = [this](std::size_t expert) {
            return m_popularity[expert] / static_cast<double>(m_map.experts[expert].size());
        };
        std::optional<std::size_t> mostLoaded;
        for (std::size_t expert = 0; expert < m_popularity.size(); ++expert)
            if (!holds(expert, rank) && (!mostLoaded || loadPerReplica(expert) > loadPerReplica(*mostLoaded)))
                mostLoaded = expert;
        return mostLoaded;
    }

    const std::vector<double>& m_popularity;
    double m_meanLoad = 0;
    // By rank: load that it can still take before it exceeds its share of the total, which is in proportion to speed.
    std::vector<double> m_remainingCapacity;
    std::vector<std::uint32_t> m_freeSlots;
    std::size_t m_freeSlotCount;
    std::size_t m_unplacedExpertCount;
    std::optional<std::size_t> m_partlyFilledRank;
    expert_map m_map;
};

}

expert_map initialMap(
    const std::vector<double>& popularity, const std::vector<double>& speeds, std::uint32_t slotsPerRank)
{
    return initial_map_builder(popularity, speeds, slotsPerRank).build();
}

}
