#include "expert_map/placement_planner.h"

#include "expert_map/set_placement.h"

#include <algorithm>

namespace sardinelb {

namespace {

// One plan in the making.
class plan_builder {
public:
    plan_builder(const placement_planner::settings& limits, const expert_placement& current, const std::vector<std::vector<double>>& popularity, const std::vector<double>& speeds)
        : m_limits(limits)
        , m_ranks(speeds.size())
        , m_copiesLeft(speeds.size(), limits.copiesPerRank)
        , m_newLeft(current.sets.size(), std::vector<std::uint32_t>(speeds.size(), limits.newPerRank))
        , m_next(current.sets.size())
        , m_original(current)
    {
        for (std::size_t set = 0; set < current.sets.size(); ++set) {
            m_sets.emplace_back(current.sets[set], popularity[set], speeds);
            findNext(set);
        }
    }

    void run()
    {
        // Every change lowers the cost, so this ends; the bound guards against rounding.
        const std::size_t mostChanges = m_sets.size() * m_ranks * m_limits.placesPerRank;
        for (std::size_t i = 0; i < mostChanges; ++i) {
            const std::size_t set = mostUseful();
            if (set == m_sets.size())
                return;
            take(set);
        }
    }

    double balance() const
    {
        double sum = 0;
        for (const set_placement& set : m_sets)
            sum += set.balance();
        return sum / static_cast<double>(m_sets.size());
    }

    expert_placement placement() const
    {
        expert_placement result;
        for (const set_placement& set : m_sets)
            result.sets.push_back(set.byRank());
        return result;
    }

    std::uint32_t copies() const { return m_copies; }

private:
    void findNext(std::size_t set)
    {
        std::vector<bool> mayCopyTo(m_ranks);
        for (std::size_t rank = 0; rank < m_ranks; ++rank)
            mayCopyTo[rank] = m_copiesLeft[rank] > 0 && m_newLeft[set][rank] > 0;
        m_next[set] = m_sets[set].best(m_limits.placesPerRank, mayCopyTo);
    }

    double gain(std::size_t set) const
    {
        const double before = m_sets[set].cost();
        return (before - m_next[set].cost) / before;
    }

    bool isAllowed(std::size_t set) const
    {
        const auto& change = m_next[set];
        return change.added == set_placement::change::none || m_copiesLeft[change.rank] > 0;
    }

    std::size_t mostUseful()
    {
        std::size_t best = m_sets.size();
        double most = 0;
        for (std::size_t set = 0; set < m_sets.size(); ++set) {
            if (!isAllowed(set))
                findNext(set);
            const bool isFree = m_next[set].added == set_placement::change::none;
            const double value = gain(set);
            const double needed = isFree ? 0.001 : m_limits.gainPerCopy;
            if (value > needed && value > most) {
                most = value;
                best = set;
            }
        }
        return best;
    }

    void take(std::size_t set)
    {
        const set_placement::change change = m_next[set];
        if (change.added != set_placement::change::none) {
            const auto& before = m_original.sets[set][change.rank];
            const bool isHeldNow = std::binary_search(before.begin(), before.end(), static_cast<expert_number>(change.added));
            // An expert that the rank holds now needs no copy.
            if (!isHeldNow) {
                --m_copiesLeft[change.rank];
                --m_newLeft[set][change.rank];
                ++m_copies;
            }
        }
        m_sets[set].apply(change);
        findNext(set);
    }

    const placement_planner::settings& m_limits;
    std::size_t m_ranks;
    std::vector<std::uint32_t> m_copiesLeft;
    std::vector<std::vector<std::uint32_t>> m_newLeft;
    std::vector<set_placement::change> m_next;
    const expert_placement& m_original;
    std::vector<set_placement> m_sets;
    std::uint32_t m_copies = 0;
};

}

placement_planner::placement_planner(settings values)
    : m_settings(values)
{
}

std::optional<placement_planner::plan> placement_planner::improve(const expert_placement& current, const std::vector<std::vector<double>>& popularity, const std::vector<double>& speeds) const
{
    if (current.sets.empty() || current.sets.size() != popularity.size() || speeds.empty())
        return std::nullopt;
    plan_builder builder(m_settings, current, popularity, speeds);
    plan result;
    result.balanceBefore = builder.balance();
    builder.run();
    result.balanceAfter = builder.balance();
    if (result.balanceAfter > result.balanceBefore * (1 - m_settings.minimumGain))
        return std::nullopt;
    result.placement = builder.placement();
    result.copies = builder.copies();
    return result;
}

}
