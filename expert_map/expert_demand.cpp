#include "expert_map/expert_demand.h"

#include "expert_map/demand_accumulator.h"

#include <cmath>

namespace sardinelb {

namespace {

// Demand shifts to other experts every few seconds.
constexpr double recentHalfLifeSeconds = 0.2;
constexpr double longTermHalfLifeSeconds = 12;

// Weight of the long-term estimate in popularity().
constexpr double longTermWeight = 0.15;

}

expert_demand::expert_demand(std::uint32_t sets, std::uint32_t experts)
    : m_sets(sets)
    , m_experts(experts)
    , m_recent(static_cast<std::size_t>(sets) * experts)
    , m_longTerm(m_recent.size())
{
}

void expert_demand::decay(time_point now)
{
    const double seconds = std::chrono::duration<double>(now - m_decayedAt).count();
    m_decayedAt = now;
    const double recent = std::exp2(-seconds / recentHalfLifeSeconds);
    const double longTerm = std::exp2(-seconds / longTermHalfLifeSeconds);
    for (std::size_t i = 0; i < m_recent.size(); ++i) {
        m_recent[i] *= recent;
        m_longTerm[i] *= longTerm;
    }
    m_recentTotal *= recent;
}

void expert_demand::report(const scaled_choices& choices, time_point now)
{
    if (choices.values.size() != m_recent.size())
        return;
    decay(now);
    for (std::size_t i = 0; i < choices.values.size(); ++i) {
        const double count = static_cast<double>(choices.values[i]) * choices.scale;
        m_recent[i] += count;
        m_longTerm[i] += count;
        m_recentTotal += count;
    }
}

std::vector<std::vector<double>> expert_demand::popularity() const
{
    std::vector<std::vector<double>> shares(m_sets, std::vector<double>(m_experts));
    for (std::uint32_t set = 0; set < m_sets; ++set) {
        const std::size_t first = static_cast<std::size_t>(set) * m_experts;
        double recentTotal = 0;
        double longTermTotal = 0;
        for (std::uint32_t e = 0; e < m_experts; ++e) {
            recentTotal += m_recent[first + e];
            longTermTotal += m_longTerm[first + e];
        }
        for (std::uint32_t e = 0; e < m_experts; ++e) {
            const double recent = recentTotal > 0 ? m_recent[first + e] / recentTotal : 1.0 / m_experts;
            const double longTerm = longTermTotal > 0 ? m_longTerm[first + e] / longTermTotal : 1.0 / m_experts;
            shares[set][e] = (1 - longTermWeight) * recent + longTermWeight * longTerm;
        }
    }
    return shares;
}

}
