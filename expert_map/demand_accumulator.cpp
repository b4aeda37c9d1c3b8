#include "expert_map/demand_accumulator.h"

#include <algorithm>

namespace sardinelb {

namespace {

constexpr std::int64_t maxScaledValue = 255;

}

void demand_accumulator::resize(std::size_t size)
{
    if (m_pending.size() != size)
        m_pending.assign(size, 0);
}

void demand_accumulator::addCounters(const std::vector<std::uint32_t>& before, const std::vector<std::uint32_t>& after)
{
    if (before.size() != after.size())
        return;
    resize(after.size());
    for (std::size_t i = 0; i < after.size(); ++i)
        m_pending[i] += after[i] > before[i] ? after[i] - before[i] : 0;
}

void demand_accumulator::add(const scaled_choices& choices)
{
    if (choices.values.empty())
        return;
    resize(choices.values.size());
    for (std::size_t i = 0; i < choices.values.size(); ++i)
        m_pending[i] += static_cast<std::int64_t>(choices.values[i]) * choices.scale;
}

scaled_choices demand_accumulator::take()
{
    scaled_choices result;
    const auto highest = std::max_element(m_pending.begin(), m_pending.end());
    if (highest == m_pending.end() || *highest <= 0)
        return result;
    const std::int64_t scale = (*highest + maxScaledValue - 1) / maxScaledValue;
    result.scale = static_cast<std::uint32_t>(scale);
    result.values.reserve(m_pending.size());
    for (std::int64_t& count : m_pending) {
        const std::int64_t value = std::clamp<std::int64_t>((count + scale / 2) / scale, 0, maxScaledValue);
        result.values.push_back(static_cast<std::uint8_t>(value));
        count -= value * scale;
    }
    return result;
}

}
