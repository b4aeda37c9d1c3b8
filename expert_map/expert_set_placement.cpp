#include "expert_map/expert_set_placement.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <iterator>
#include <limits>

namespace sardinelb {

namespace {

// Copies to busier ranks are not tried, because in a large group that takes most of the planning time and gains little.
constexpr std::ptrdiff_t maxCopyTargets = 24;

// Power of the mean that approximates the maximum. Unlike the maximum, it also falls when one of several equally busy ranks
// is relieved.
double eighthPower(double value)
{
    const double square = value * value;
    const double fourth = square * square;
    return fourth * fourth;
}

double eighthRoot(double value)
{
    return std::sqrt(std::sqrt(std::sqrt(value)));
}

}

expert_set_placement::expert_set_placement(std::vector<std::vector<expert_number>> byRank, const std::vector<double>& popularity, const std::vector<double>& speeds)
    : m_byRank(std::move(byRank))
    , m_popularity(popularity)
    , m_speeds(speeds)
    , m_holders(popularity.size())
    , m_loads(m_byRank.size())
{
    for (std::size_t rank = 0; rank < m_byRank.size(); ++rank) {
        for (const expert_number expert : m_byRank[rank])
            m_holders[expert].push_back(rank);
        m_totalSpeed += m_speeds[rank];
    }
    for (std::size_t expert = 0; expert < m_holders.size(); ++expert) {
        for (const std::size_t rank : m_holders[expert])
            m_loads[rank] += loadPerCopy(expert, m_holders[expert].size());
    }
    m_loadChanges.resize(m_loads.size());
    m_timePowers.resize(m_loads.size());
    for (std::size_t rank = 0; rank < m_loads.size(); ++rank) {
        m_timePowers[rank] = timePower(rank, m_loads[rank]);
        m_timePowerSum += m_timePowers[rank];
    }
}

bool expert_set_placement::holds(std::size_t rank, std::size_t expert) const
{
    return std::binary_search(m_byRank[rank].begin(), m_byRank[rank].end(), static_cast<expert_number>(expert));
}

double expert_set_placement::timePower(std::size_t rank, double load) const
{
    // The time is 1 under perfect balance, where each rank's load equals its share of the total speed.
    return eighthPower(load / m_speeds[rank] * m_totalSpeed);
}

double expert_set_placement::cost() const
{
    return eighthRoot(m_timePowerSum / static_cast<double>(m_loads.size()));
}

double expert_set_placement::balance() const
{
    double most = 0;
    for (std::size_t rank = 0; rank < m_loads.size(); ++rank)
        most = std::max(most, m_loads[rank] / m_speeds[rank] * m_totalSpeed);
    return most;
}

std::size_t expert_set_placement::busiestRank() const
{
    std::size_t most = 0;
    for (std::size_t rank = 1; rank < m_loads.size(); ++rank) {
        if (m_loads[rank] / m_speeds[rank] > m_loads[most] / m_speeds[most])
            most = rank;
    }
    return most;
}

std::vector<std::size_t> expert_set_placement::leastBusyRanks(std::size_t from, const std::vector<bool>& canCopyTo) const
{
    std::vector<std::size_t> ranks;
    for (std::size_t rank = 0; rank < m_byRank.size(); ++rank) {
        if (canCopyTo[rank] && m_timePowers[rank] < m_timePowers[from])
            ranks.push_back(rank);
    }
    if (std::ssize(ranks) <= maxCopyTargets)
        return ranks;
    const auto end = ranks.begin() + maxCopyTargets;
    std::nth_element(ranks.begin(), end, ranks.end(), [&](std::size_t a, std::size_t b) { return m_timePowers[a] < m_timePowers[b]; });
    ranks.erase(end, ranks.end());
    return ranks;
}

void expert_set_placement::addLoadChange(std::size_t rank, double load) const
{
    if (m_loadChanges[rank] == 0)
        m_changedRanks.push_back(rank);
    m_loadChanges[rank] += load;
}

void expert_set_placement::computeLoadChanges(const change& proposed) const
{
    for (const std::size_t rank : m_changedRanks)
        m_loadChanges[rank] = 0;
    m_changedRanks.clear();
    if (proposed.added != change::none) {
        const auto& holders = m_holders[proposed.added];
        const double after = loadPerCopy(proposed.added, holders.size() + 1);
        const double relief = after - loadPerCopy(proposed.added, holders.size());
        for (const std::size_t rank : holders)
            addLoadChange(rank, relief);
        addLoadChange(proposed.rank, after);
    }
    if (proposed.dropped != change::none) {
        const auto& holders = m_holders[proposed.dropped];
        const double after = loadPerCopy(proposed.dropped, holders.size() - 1);
        const double extra = after - loadPerCopy(proposed.dropped, holders.size());
        for (const std::size_t rank : holders)
            addLoadChange(rank, extra);
        addLoadChange(proposed.rank, -after);
    }
}

double expert_set_placement::costAfter(const change& proposed) const
{
    computeLoadChanges(proposed);
    double sum = m_timePowerSum;
    for (const std::size_t rank : m_changedRanks)
        sum += timePower(rank, m_loads[rank] + m_loadChanges[rank]) - m_timePowers[rank];
    return eighthRoot(std::max(0.0, sum) / static_cast<double>(m_loads.size()));
}

expert_set_placement::change expert_set_placement::bestChange(std::uint32_t expertsPerRank, const std::vector<bool>& canCopyTo) const
{
    change result;
    result.cost = std::numeric_limits<double>::infinity();
    const auto consider = [&](change candidate) {
        candidate.cost = costAfter(candidate);
        if (candidate.cost < result.cost)
            result = candidate;
    };
    const std::size_t from = busiestRank();
    const std::vector<std::size_t> targets = leastBusyRanks(from, canCopyTo);
    for (const expert_number expert : m_byRank[from]) {
        if (m_holders[expert].size() > 1)
            consider({ from, change::none, expert, 0 });
        for (const std::size_t to : targets) {
            if (holds(to, expert))
                continue;
            if (m_byRank[to].size() < expertsPerRank) {
                consider({ to, expert, change::none, 0 });
                continue;
            }
            for (const expert_number other : m_byRank[to]) {
                if (m_holders[other].size() > 1)
                    consider({ to, expert, other, 0 });
            }
        }
    }
    return result;
}

void expert_set_placement::apply(const change& proposed)
{
    computeLoadChanges(proposed);
    for (const std::size_t rank : m_changedRanks) {
        m_loads[rank] += m_loadChanges[rank];
        m_timePowerSum -= m_timePowers[rank];
        m_timePowers[rank] = timePower(rank, m_loads[rank]);
        m_timePowerSum += m_timePowers[rank];
    }
    auto& held = m_byRank[proposed.rank];
    if (proposed.dropped != change::none) {
        std::erase(held, static_cast<expert_number>(proposed.dropped));
        std::erase(m_holders[proposed.dropped], proposed.rank);
    }
    if (proposed.added != change::none) {
        held.insert(std::lower_bound(held.begin(), held.end(), static_cast<expert_number>(proposed.added)), static_cast<expert_number>(proposed.added));
        m_holders[proposed.added].push_back(proposed.rank);
    }
}

}
