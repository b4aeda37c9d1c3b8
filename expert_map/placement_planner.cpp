#include "expert_map/placement_planner.h"

#include "expert_map/expert_set_placement.h"

#include <algorithm>

namespace sardinelb {

namespace {

// Builds one plan greedily: applies the change with the greatest gain until none is worthwhile.
class plan_builder {
public:
    plan_builder(const placement_planner::settings& limits, const expert_placement& current, const std::vector<std::vector<double>>& popularity, const std::vector<double>& speeds)
        : m_limits(limits)
        , m_ranks(speeds.size())
        , m_copiesLeft(speeds.size(), limits.copiesPerRank)
        , m_newExpertsLeft(current.sets.size(), std::vector<std::uint32_t>(speeds.size(), limits.newExpertsPerRank))
        , m_bestChanges(current.sets.size())
        , m_original(current)
    {
        for (std::size_t set = 0; set < current.sets.size(); ++set) {
            m_sets.emplace_back(current.sets[set], popularity[set], speeds);
            updateBestChange(set);
        }
    }

    void run()
    {
        // The loop terminates because every change lowers the cost; the bound guards against rounding errors.
        const std::size_t maxChanges = m_sets.size() * m_ranks * m_limits.expertsPerRank;
        for (std::size_t i = 0; i < maxChanges; ++i) {
            const std::size_t set = selectSet();
            if (set == m_sets.size())
                return;
            applyBestChange(set);
        }
    }

    double balance() const
    {
        double sum = 0;
        for (const expert_set_placement& set : m_sets)
            sum += set.balance();
        return sum / static_cast<double>(m_sets.size());
    }

    expert_placement placement() const
    {
        expert_placement result;
        for (const expert_set_placement& set : m_sets)
            result.sets.push_back(set.byRank());
        return result;
    }

    std::uint32_t copies() const { return m_copies; }

private:
    void updateBestChange(std::size_t set)
    {
        std::vector<bool> canCopyTo(m_ranks);
        for (std::size_t rank = 0; rank < m_ranks; ++rank)
            canCopyTo[rank] = m_copies < m_limits.copies && m_copiesLeft[rank] > 0 && m_newExpertsLeft[set][rank] > 0;
        m_bestChanges[set] = m_sets[set].bestChange(m_limits.expertsPerRank, canCopyTo);
    }

    double gain(std::size_t set) const
    {
        const double before = m_sets[set].cost();
        return (before - m_bestChanges[set].cost) / before;
    }

    bool isAllowed(std::size_t set) const
    {
        const auto& change = m_bestChanges[set];
        return change.added == expert_set_placement::change::none || (m_copies < m_limits.copies && m_copiesLeft[change.rank] > 0);
    }

    std::size_t selectSet()
    {
        std::size_t best = m_sets.size();
        double most = 0;
        for (std::size_t set = 0; set < m_sets.size(); ++set) {
            if (!isAllowed(set))
                updateBestChange(set);
            const bool isDropOnly = m_bestChanges[set].added == expert_set_placement::change::none;
            const double value = gain(set);
            // Dropping a copy transfers no data, so a small gain justifies it.
            const double needed = isDropOnly ? 0.001 : m_limits.gainPerCopy;
            if (value > needed && value > most) {
                most = value;
                best = set;
            }
        }
        return best;
    }

    void applyBestChange(std::size_t set)
    {
        const expert_set_placement::change change = m_bestChanges[set];
        if (change.added != expert_set_placement::change::none) {
            const auto& before = m_original.sets[set][change.rank];
            const bool isInCurrentMap = std::binary_search(before.begin(), before.end(), static_cast<expert_number>(change.added));
            // Restoring an expert that the rank holds in the current map needs no copy.
            if (!isInCurrentMap) {
                --m_copiesLeft[change.rank];
                --m_newExpertsLeft[set][change.rank];
                ++m_copies;
            }
        }
        m_sets[set].apply(change);
        updateBestChange(set);
    }

    const placement_planner::settings& m_limits;
    std::size_t m_ranks;
    std::vector<std::uint32_t> m_copiesLeft;
    std::vector<std::vector<std::uint32_t>> m_newExpertsLeft;
    std::vector<expert_set_placement::change> m_bestChanges;
    const expert_placement& m_original;
    std::vector<expert_set_placement> m_sets;
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
