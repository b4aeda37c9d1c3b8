#include "coordination/maps/replica_placement.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace sardinelb {

namespace {

// Sweeps end when no replica's load changes by more than this, relative to the mean load of a rank.
constexpr double convergenceThreshold = 1e-4;

void scaleToSum(std::vector<double>& values, double sum)
{
    const double factor = sum / std::accumulate(values.begin(), values.end(), 0.0);
    for (double& value : values)
        value *= factor;
}

}

replica_placement::replica_placement(
    std::vector<double> popularity, std::vector<double> speeds, std::uint32_t slotsPerRank)
    : m_popularity(std::move(popularity))
    , m_speeds(std::move(speeds))
    , m_slotsPerRank(slotsPerRank)
    , m_loads(m_speeds.size())
    , m_usedSlots(m_speeds.size())
    , m_slotExpert(m_speeds.size() * slotsPerRank)
    , m_slotLoad(m_speeds.size() * slotsPerRank)
{
    scaleToSum(m_speeds, static_cast<double>(m_speeds.size()));
    scaleToSum(m_popularity, static_cast<double>(m_speeds.size()));
    indexSlots();
}

void replica_placement::assign(const expert_map& map)
{
    for (std::size_t expert = 0; expert < map.experts.size(); ++expert)
        for (const auto& replica : map.experts[expert])
            insertReplica(expert, replica.rank.value(), m_popularity[expert] * replica.share);
    indexSlots();
}

void replica_placement::add(std::size_t expert, std::size_t rank)
{
    insertReplica(expert, rank, replicaCount(expert) == 0 ? m_popularity[expert] : 0);
    indexSlots();
}

void replica_placement::remove(std::size_t expert, std::size_t rank)
{
    const double load = extractReplica(expert, rank);
    indexSlots();
    const std::size_t slot = slotsOf(expert).front();
    m_slotLoad[slot] += load;
    m_loads[rankOf(slot)] += load;
    distributeLoadOf(expert);
}

void replica_placement::relocate(std::size_t expert, std::size_t from, std::size_t to)
{
    insertReplica(expert, to, extractReplica(expert, from));
    indexSlots();
}

void replica_placement::distributeLoads(int maxSweeps)
{
    for (int sweep = 0; sweep < maxSweeps; ++sweep) {
        const std::vector<double> before = m_slotLoad;
        for (std::size_t expert = 0; expert < expertCount(); ++expert)
            distributeLoadOf(expert);
        const auto isSmall = [](double a, double b) { return std::abs(a - b) <= convergenceThreshold; };
        if (std::ranges::equal(before, m_slotLoad, isSmall))
            return;
    }
}

double replica_placement::balance() const
{
    double busiest = 0;
    for (std::size_t rank = 0; rank < rankCount(); ++rank)
        busiest = std::max(busiest, time(rank));
    return busiest;
}

double replica_placement::excess(double level) const
{
    double sum = 0;
    for (std::size_t rank = 0; rank < rankCount(); ++rank)
        sum += std::max(0.0, m_loads[rank] - level * m_speeds[rank]);
    return sum;
}

bool replica_placement::holds(std::size_t expert, std::size_t rank) const
{
    const auto held = expertsOn(rank);
    return std::find(held.begin(), held.end(), expert) != held.end();
}

double replica_placement::replicaLoad(std::size_t expert, std::size_t rank) const
{
    return holds(expert, rank) ? m_slotLoad[slotOf(expert, rank)] : 0;
}

std::span<const std::uint32_t> replica_placement::expertsOn(std::size_t rank) const
{
    return { m_slotExpert.data() + rank * m_slotsPerRank, m_usedSlots[rank] };
}

std::vector<std::size_t> replica_placement::ranksOf(std::size_t expert) const
{
    std::vector<std::size_t> ranks;
    for (const std::uint32_t slot : slotsOf(expert))
        ranks.push_back(rankOf(slot));
    return ranks;
}

expert_map replica_placement::toMap() const
{
    expert_map map;
    for (std::size_t expert = 0; expert < expertCount(); ++expert) {
        double sum = 0;
        for (const std::uint32_t slot : slotsOf(expert))
            sum += m_slotLoad[slot];
        auto& replicas = map.experts.emplace_back();
        for (const std::uint32_t slot : slotsOf(expert))
            replicas.push_back({ rank_id(static_cast<std::uint32_t>(rankOf(slot))), m_slotLoad[slot] / sum });
        std::ranges::sort(replicas, {}, &expert_map::replica::rank);
    }
    return map;
}

std::span<const std::uint32_t> replica_placement::slotsOf(std::size_t expert) const
{
    const std::uint32_t first = m_firstOfExpert[expert];
    return { m_slotsByExpert.data() + first, m_firstOfExpert[expert + 1] - first };
}

std::size_t replica_placement::slotOf(std::size_t expert, std::size_t rank) const
{
    const auto held = expertsOn(rank);
    return rank * m_slotsPerRank
        + static_cast<std::size_t>(std::find(held.begin(), held.end(), expert) - held.begin());
}

void replica_placement::insertReplica(std::size_t expert, std::size_t rank, double load)
{
    const std::size_t slot = rank * m_slotsPerRank + m_usedSlots[rank];
    m_slotExpert[slot] = static_cast<std::uint32_t>(expert);
    m_slotLoad[slot] = load;
    m_loads[rank] += load;
    ++m_usedSlots[rank];
}

double replica_placement::extractReplica(std::size_t expert, std::size_t rank)
{
    const std::size_t slot = slotOf(expert, rank);
    const double load = m_slotLoad[slot];
    --m_usedSlots[rank];
    const std::size_t last = rank * m_slotsPerRank + m_usedSlots[rank];
    m_slotExpert[slot] = m_slotExpert[last];
    m_slotLoad[slot] = m_slotLoad[last];
    m_slotLoad[last] = 0;
    m_loads[rank] -= load;
    return load;
}

// Rebuilds the index of slots by expert.
void replica_placement::indexSlots()
{
    m_firstOfExpert.assign(expertCount() + 1, 0);
    for (std::size_t rank = 0; rank < rankCount(); ++rank)
        for (const std::uint32_t expert : expertsOn(rank))
            ++m_firstOfExpert[expert + 1];
    std::partial_sum(m_firstOfExpert.begin(), m_firstOfExpert.end(), m_firstOfExpert.begin());
    m_slotsByExpert.resize(m_firstOfExpert.back());
    std::vector<std::uint32_t> next = m_firstOfExpert;
    for (std::size_t rank = 0; rank < rankCount(); ++rank)
        for (std::size_t slot = rank * m_slotsPerRank; slot < rank * m_slotsPerRank + m_usedSlots[rank]; ++slot)
            m_slotsByExpert[next[m_slotExpert[slot]]++] = static_cast<std::uint32_t>(slot);
}

// Divides the load of the expert so that the ranks that get some of it finish at the same time. Ranks that would finish
// later without it get none.
void replica_placement::distributeLoadOf(std::size_t expert)
{
    const auto first = m_slotsByExpert.begin() + m_firstOfExpert[expert];
    auto last = m_slotsByExpert.begin() + m_firstOfExpert[expert + 1];
    if (last - first < 2)
        return;
    double load = m_popularity[expert];
    double speed = 0;
    for (auto slot = first; slot != last; ++slot) {
        const std::size_t rank = rankOf(*slot);
        m_loads[rank] -= std::exchange(m_slotLoad[*slot], 0);
        load += m_loads[rank];
        speed += m_speeds[rank];
    }
    // A rank whose other load already exceeds the common time gets nothing, which lowers the time for the others.
    for (auto slot = first; slot != last;) {
        const std::size_t rank = rankOf(*slot);
        if (m_loads[rank] * speed <= load * m_speeds[rank]) {
            ++slot;
            continue;
        }
        load -= m_loads[rank];
        speed -= m_speeds[rank];
        std::swap(*slot, *--last);
        slot = first;
    }
    for (auto slot = first; slot != last; ++slot) {
        const std::size_t rank = rankOf(*slot);
        m_slotLoad[*slot] = std::max(0.0, load / speed * m_speeds[rank] - m_loads[rank]);
        m_loads[rank] += m_slotLoad[*slot];
    }
}

}
