#include "expert_map/set_placement.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace sardinelb {

namespace {

// Power of the mean that stands for the maximum. Unlike the maximum, it also falls when one of several busiest ranks gets
// less.
double steep(double value)
{
    const double square = value * value;
    const double fourth = square * square;
    return fourth * fourth;
}

double root(double value)
{
    return std::sqrt(std::sqrt(std::sqrt(value)));
}

}

set_placement::set_placement(std::vector<std::vector<expert_number>> byRank, const std::vector<double>& popularity, const std::vector<double>& speeds)
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
            m_loads[rank] += partOf(expert, m_holders[expert].size());
    }
    m_moved.resize(m_loads.size());
    m_steep.resize(m_loads.size());
    for (std::size_t rank = 0; rank < m_loads.size(); ++rank) {
        m_steep[rank] = steepTime(rank, m_loads[rank]);
        m_steepSum += m_steep[rank];
    }
}

bool set_placement::holds(std::size_t rank, std::size_t expert) const
{
    return std::binary_search(m_byRank[rank].begin(), m_byRank[rank].end(), static_cast<expert_number>(expert));
}

double set_placement::steepTime(std::size_t rank, double load) const
{
    // With perfect balance each rank carries its part of the total speed.
    return steep(load / m_speeds[rank] * m_totalSpeed);
}

double set_placement::cost() const
{
    return root(m_steepSum / static_cast<double>(m_loads.size()));
}

double set_placement::balance() const
{
    double most = 0;
    for (std::size_t rank = 0; rank < m_loads.size(); ++rank)
        most = std::max(most, m_loads[rank] / m_speeds[rank] * m_totalSpeed);
    return most;
}

std::size_t set_placement::busiest() const
{
    std::size_t most = 0;
    for (std::size_t rank = 1; rank < m_loads.size(); ++rank) {
        if (m_loads[rank] / m_speeds[rank] > m_loads[most] / m_speeds[most])
            most = rank;
    }
    return most;
}

void set_placement::touch(std::size_t rank, double load) const
{
    if (m_moved[rank] == 0)
        m_touched.push_back(rank);
    m_moved[rank] += load;
}

void set_placement::collectMoves(const change& what) const
{
    for (const std::size_t rank : m_touched)
        m_moved[rank] = 0;
    m_touched.clear();
    if (what.added != change::none) {
        const auto& holders = m_holders[what.added];
        const double after = partOf(what.added, holders.size() + 1);
        const double relief = after - partOf(what.added, holders.size());
        for (const std::size_t rank : holders)
            touch(rank, relief);
        touch(what.rank, after);
    }
    if (what.dropped != change::none) {
        const auto& holders = m_holders[what.dropped];
        const double after = partOf(what.dropped, holders.size() - 1);
        const double extra = after - partOf(what.dropped, holders.size());
        for (const std::size_t rank : holders)
            touch(rank, extra);
        touch(what.rank, -after);
    }
}

double set_placement::costAfter(const change& what) const
{
    collectMoves(what);
    double sum = m_steepSum;
    for (const std::size_t rank : m_touched)
        sum += steepTime(rank, m_loads[rank] + m_moved[rank]) - m_steep[rank];
    return root(std::max(0.0, sum) / static_cast<double>(m_loads.size()));
}

set_placement::change set_placement::best(std::uint32_t placesPerRank, const std::vector<bool>& mayCopyTo) const
{
    change result;
    result.cost = std::numeric_limits<double>::infinity();
    const auto consider = [&](change candidate) {
        candidate.cost = costAfter(candidate);
        if (candidate.cost < result.cost)
            result = candidate;
    };
    const std::size_t from = busiest();
    for (const expert_number expert : m_byRank[from]) {
        if (m_holders[expert].size() > 1)
            consider({ from, change::none, expert, 0 });
        for (std::size_t to = 0; to < m_byRank.size(); ++to) {
            if (!mayCopyTo[to] || m_steep[to] >= m_steep[from] || holds(to, expert))
                continue;
            if (m_byRank[to].size() < placesPerRank) {
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

void set_placement::apply(const change& what)
{
    collectMoves(what);
    for (const std::size_t rank : m_touched) {
        m_loads[rank] += m_moved[rank];
        m_steepSum -= m_steep[rank];
        m_steep[rank] = steepTime(rank, m_loads[rank]);
        m_steepSum += m_steep[rank];
    }
    auto& held = m_byRank[what.rank];
    if (what.dropped != change::none) {
        std::erase(held, static_cast<expert_number>(what.dropped));
        std::erase(m_holders[what.dropped], what.rank);
    }
    if (what.added != change::none) {
        held.insert(std::lower_bound(held.begin(), held.end(), static_cast<expert_number>(what.added)), static_cast<expert_number>(what.added));
        m_holders[what.added].push_back(what.rank);
    }
}

}
