#include "coordination/maps/placement_search.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace sardinelb {

namespace {

// Maximum sweeps to distribute the loads of a final placement, and of a candidate.
constexpr int finalSweeps = 100;
constexpr int trialSweeps = 4;

// Number of steps that may use the wide search. Planning for 256 ranks has to take less than 50 ms.
constexpr int maxWideSteps = 1;

constexpr std::size_t maxVacatedRanksTried = 2;

// Fraction of the imbalance that a step aims to remove. If a step aimed at the target balance directly, the other ranks
// would have too little spare time below that level for any single step to help.
constexpr double imbalancePartPerStep = 0.5;

// Returns the elements with the highest scores, best first.
template <typename Element, typename Score>
std::vector<Element> best(std::vector<Element> elements, std::size_t count, Score score)
{
    const auto middle = elements.begin() + static_cast<std::ptrdiff_t>(std::min(count, elements.size()));
    std::ranges::partial_sort(elements, middle, std::greater<>(), score);
    elements.erase(middle, elements.end());
    return elements;
}

}

placement_search::placement_search(
    replica_placement placement, const map_planner_settings& settings, std::uint32_t moveBudget)
    : m_placement(std::move(placement))
    , m_settings(settings)
    , m_movesLeft(moveBudget)
    , m_stagingLeft(m_placement.rankCount(), settings.stagingSlotsPerRank)
{
    m_placement.distributeLoads(finalSweeps);
}

void placement_search::run()
{
    int wideStepsLeft = maxWideSteps;
    while (m_movesLeft > 0 && m_placement.balance() > m_settings.targetBalance)
        if (!tryImprove(narrow) && (wideStepsLeft-- == 0 || !tryImprove(wide)))
            break;
    m_placement.distributeLoads(finalSweeps);
}

bool placement_search::tryImprove(const search_width& tried)
{
    m_targetLevel = std::max(m_settings.targetBalance, 1 + (m_placement.balance() - 1) * imbalancePartPerStep);
    const double excess = m_placement.excess(m_targetLevel);
    const std::vector<std::size_t> experts = overloadedExperts(tried.experts);
    std::optional<candidate> best;
    for (const rank_capacity& capacity : ranksWithMostCapacity(tried.ranks))
        for (const std::size_t expert : experts)
            if (!m_placement.holds(expert, capacity.rank))
                keepBetter(best, capacity.isExchange ? tryExchanging(expert, capacity) : tryAdding(expert, capacity));
    if (!best || best->excess >= excess)
        return false;
    m_placement = std::move(best->placement);
    m_movesLeft -= static_cast<std::uint32_t>(best->loadingRanks.size());
    for (const std::size_t rank : best->loadingRanks)
        --m_stagingLeft[rank];
    return true;
}

void placement_search::keepBetter(std::optional<candidate>& best, const std::optional<candidate>& tried) const
{
    if (tried && (!best || tried->excess < best->excess))
        best = tried;
}

// Returns the experts with the most load on ranks above the target level.
std::vector<std::size_t> placement_search::overloadedExperts(std::size_t count) const
{
    std::vector<double> loads(m_placement.expertCount());
    for (std::size_t rank = 0; rank < m_placement.rankCount(); ++rank)
        if (m_placement.time(rank) > m_targetLevel)
            for (const std::size_t expert : m_placement.expertsOn(rank))
                loads[expert] += m_placement.replicaLoad(expert, rank);
    std::vector<std::size_t> experts;
    for (std::size_t expert = 0; expert < loads.size(); ++expert)
        if (loads[expert] > 0)
            experts.push_back(expert);
    return best(std::move(experts), count, [&](std::size_t expert) { return loads[expert]; });
}

double placement_search::spareTime(std::size_t rank) const
{
    return m_targetLevel * m_placement.speed(rank) - m_placement.load(rank);
}

// Returns, by expert, the spare time on all ranks that hold it.
std::vector<double> placement_search::spareTimeOfExperts() const
{
    std::vector<double> spare(m_placement.expertCount());
    for (std::size_t rank = 0; rank < m_placement.rankCount(); ++rank)
        for (const std::size_t expert : m_placement.expertsOn(rank))
            spare[expert] += std::max(0.0, spareTime(rank));
    return spare;
}

// Returns the largest capacity for a new replica on the rank. If all slots are taken, the new replica replaces another one,
// whose load is transferred to the other replicas of its expert as far as their ranks have spare time.
std::optional<placement_search::rank_capacity> placement_search::capacityOn(
    std::size_t rank, const std::vector<double>& spareOfExperts) const
{
    const double spare = spareTime(rank);
    if (m_stagingLeft[rank] == 0 || spare <= 0)
        return std::nullopt;
    if (m_placement.freeSlots(rank) > 0)
        return rank_capacity { rank, spare, spare, std::nullopt, false };
    std::optional<rank_capacity> largest;
    for (const std::size_t expert : m_placement.expertsOn(rank)) {
        const bool isOnly = m_placement.replicaCount(expert) == 1;
        const double held = m_placement.replicaLoad(expert, rank);
        const double transferred = std::min(held, spareOfExperts[expert] - spare);
        const rank_capacity found { rank, isOnly ? spare : spare + 2 * transferred - held, spare - held, expert, isOnly };
        if (!largest || found.load > largest->load)
            largest = found;
    }
    return largest;
}

std::vector<placement_search::rank_capacity> placement_search::ranksWithMostCapacity(std::size_t count) const
{
    const std::vector<double> spareOfExperts = spareTimeOfExperts();
    std::vector<rank_capacity> capacities;
    for (std::size_t rank = 0; rank < m_placement.rankCount(); ++rank)
        if (const auto found = capacityOn(rank, spareOfExperts))
            capacities.push_back(*found);
    std::vector<rank_capacity> chosen = best(capacities, count, [](const rank_capacity& capacity) { return capacity.load; });
    std::ranges::copy(best(std::move(capacities), count, [](const rank_capacity& capacity) { return capacity.loadWithoutTransfer; }), std::back_inserter(chosen));
    return chosen;
}

std::optional<placement_search::candidate> placement_search::tryAdding(std::size_t expert, const rank_capacity& capacity) const
{
    replica_placement tried = m_placement;
    if (capacity.replacedExpert)
        tried.remove(*capacity.replacedExpert, capacity.rank);
    tried.add(expert, capacity.rank);
    return evaluate(std::move(tried), { capacity.rank });
}

// Exchanges the only replica of an expert with a replica of the overloaded expert.
std::optional<placement_search::candidate> placement_search::tryExchanging(std::size_t expert, const rank_capacity& capacity) const
{
    std::optional<candidate> best;
    if (m_movesLeft < 2)
        return best;
    for (const std::size_t vacated : ranksToVacate(expert, *capacity.replacedExpert)) {
        replica_placement tried = m_placement;
        tried.remove(expert, vacated);
        tried.relocate(*capacity.replacedExpert, capacity.rank, vacated);
        tried.add(expert, capacity.rank);
        keepBetter(best, evaluate(std::move(tried), { capacity.rank, vacated }));
    }
    return best;
}

placement_search::candidate placement_search::evaluate(
    replica_placement placement, std::vector<std::size_t> loadingRanks) const
{
    placement.distributeLoads(trialSweeps);
    const double excess = placement.excess(m_targetLevel);
    return { std::move(placement), excess, std::move(loadingRanks) };
}

// Returns ranks where the expert `replacedExpert`, which has one replica, could take the slot of the overloaded expert:
// those on which the overloaded expert has the most load.
std::vector<std::size_t> placement_search::ranksToVacate(std::size_t expert, std::size_t replacedExpert) const
{
    std::vector<std::size_t> ranks;
    if (m_placement.replicaCount(expert) > 1)
        for (const std::size_t rank : m_placement.ranksOf(expert))
            if (m_stagingLeft[rank] > 0 && !m_placement.holds(replacedExpert, rank))
                ranks.push_back(rank);
    return best(std::move(ranks), maxVacatedRanksTried,
        [&](std::size_t rank) { return m_placement.replicaLoad(expert, rank); });
}

}
