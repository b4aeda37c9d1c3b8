#include "coordination/maps/placement_search.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace sardinelb {

namespace {

// Sweeps that divide the load of a whole placement, and of one that is only tried.
constexpr int finalSweeps = 100;
constexpr int trialSweeps = 4;

// Steps that may try more. A plan at 256 ranks has to take less than 50 ms.
constexpr int wideSteps = 1;

constexpr std::size_t triedVacatedRanks = 2;

// Part of the imbalance that a step aims to remove. Aiming at the target at once leaves too little spare time on the
// other ranks for any single step to help.
constexpr double levelPart = 0.5;

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
    m_placement.share(finalSweeps);
}

void placement_search::run()
{
    int wideStepsLeft = wideSteps;
    while (m_movesLeft > 0 && m_placement.balance() > m_settings.targetBalance)
        if (!improve(narrow) && (wideStepsLeft-- == 0 || !improve(wide)))
            break;
    m_placement.share(finalSweeps);
}

bool placement_search::improve(const width& tried)
{
    m_level = std::max(m_settings.targetBalance, 1 + (m_placement.balance() - 1) * levelPart);
    const double excess = m_placement.excess(m_level);
    const std::vector<std::size_t> experts = overloadedExperts(tried.experts);
    std::optional<candidate> best;
    for (const room& place : roomiestRanks(tried.ranks))
        for (const std::size_t expert : experts)
            if (!m_placement.holds(expert, place.rank))
                keepBetter(best, place.isExchange ? tryExchanging(expert, place) : tryAdding(expert, place));
    if (!best || best->excess >= excess)
        return false;
    m_placement = std::move(best->placement);
    m_movesLeft -= static_cast<std::uint32_t>(best->ranksThatLoad.size());
    for (const std::size_t rank : best->ranksThatLoad)
        --m_stagingLeft[rank];
    return true;
}

void placement_search::keepBetter(std::optional<candidate>& best, const std::optional<candidate>& tried) const
{
    if (tried && (!best || tried->excess < best->excess))
        best = tried;
}

// Experts that carry the most load on ranks above the target level.
std::vector<std::size_t> placement_search::overloadedExperts(std::size_t count) const
{
    std::vector<double> loads(m_placement.expertCount());
    for (std::size_t rank = 0; rank < m_placement.rankCount(); ++rank)
        if (m_placement.time(rank) > m_level)
            for (const std::size_t expert : m_placement.heldBy(rank))
                loads[expert] += m_placement.replicaLoad(expert, rank);
    std::vector<std::size_t> experts;
    for (std::size_t expert = 0; expert < loads.size(); ++expert)
        if (loads[expert] > 0)
            experts.push_back(expert);
    return best(std::move(experts), count, [&](std::size_t expert) { return loads[expert]; });
}

double placement_search::spareTime(std::size_t rank) const
{
    return m_level * m_placement.speed(rank) - m_placement.load(rank);
}

// Spare time on all ranks that hold the expert, by expert.
std::vector<double> placement_search::spareTimeOfExperts() const
{
    std::vector<double> spare(m_placement.expertCount());
    for (std::size_t rank = 0; rank < m_placement.rankCount(); ++rank)
        for (const std::size_t expert : m_placement.heldBy(rank))
            spare[expert] += std::max(0.0, spareTime(rank));
    return spare;
}

// Room for a new replica on the rank. A replica that gives way leaves its load to the others of its expert, as far as
// those have spare time.
std::optional<placement_search::room> placement_search::roomOn(
    std::size_t rank, const std::vector<double>& spareOfExperts) const
{
    const double spare = spareTime(rank);
    if (m_stagingLeft[rank] == 0 || spare <= 0)
        return std::nullopt;
    if (m_placement.freeSlots(rank) > 0)
        return room { rank, spare, spare, std::nullopt, false };
    std::optional<room> roomiest;
    for (const std::size_t expert : m_placement.heldBy(rank)) {
        const bool isOnly = m_placement.replicaCount(expert) == 1;
        const double held = m_placement.replicaLoad(expert, rank);
        const double passedOn = std::min(held, spareOfExperts[expert] - spare);
        const room found { rank, isOnly ? spare : spare + 2 * passedOn - held, spare - held, expert, isOnly };
        if (!roomiest || found.load > roomiest->load)
            roomiest = found;
    }
    return roomiest;
}

std::vector<placement_search::room> placement_search::roomiestRanks(std::size_t count) const
{
    const std::vector<double> spareOfExperts = spareTimeOfExperts();
    std::vector<room> rooms;
    for (std::size_t rank = 0; rank < m_placement.rankCount(); ++rank)
        if (const auto found = roomOn(rank, spareOfExperts))
            rooms.push_back(*found);
    std::vector<room> chosen = best(rooms, count, [](const room& place) { return place.load; });
    std::ranges::copy(best(std::move(rooms), count, [](const room& place) { return place.undisturbedLoad; }), std::back_inserter(chosen));
    return chosen;
}

std::optional<placement_search::candidate> placement_search::tryAdding(std::size_t expert, const room& place) const
{
    replica_placement tried = m_placement;
    if (place.replaced)
        tried.remove(*place.replaced, place.rank);
    tried.add(expert, place.rank);
    return evaluated(std::move(tried), { place.rank });
}

// The only replica of an expert changes places with one of the overloaded expert.
std::optional<placement_search::candidate> placement_search::tryExchanging(std::size_t expert, const room& place) const
{
    std::optional<candidate> best;
    if (m_movesLeft < 2)
        return best;
    for (const std::size_t vacated : ranksToVacate(expert, *place.replaced)) {
        replica_placement tried = m_placement;
        tried.remove(expert, vacated);
        tried.relocate(*place.replaced, place.rank, vacated);
        tried.add(expert, place.rank);
        keepBetter(best, evaluated(std::move(tried), { place.rank, vacated }));
    }
    return best;
}

placement_search::candidate placement_search::evaluated(
    replica_placement placement, std::vector<std::size_t> ranksThatLoad) const
{
    placement.share(trialSweeps);
    const double excess = placement.excess(m_level);
    return { std::move(placement), excess, std::move(ranksThatLoad) };
}

// Ranks on which an expert with one replica could take the place of the overloaded one: those where the overloaded one
// carries the most load.
std::vector<std::size_t> placement_search::ranksToVacate(std::size_t expert, std::size_t replaced) const
{
    std::vector<std::size_t> ranks;
    if (m_placement.replicaCount(expert) > 1)
        for (const std::size_t rank : m_placement.ranksOf(expert))
            if (m_stagingLeft[rank] > 0 && !m_placement.holds(replaced, rank))
                ranks.push_back(rank);
    return best(std::move(ranks), triedVacatedRanks,
        [&](std::size_t rank) { return m_placement.replicaLoad(expert, rank); });
}

}
