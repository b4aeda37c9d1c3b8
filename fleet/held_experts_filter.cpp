#include "fleet/held_experts_filter.h"

#include <utility>

namespace sardinelb {

namespace {

// Interval of reading a believed list again.
constexpr duration checkInterval = std::chrono::seconds(2);

bool isSame(const platform::held_experts& a, const platform::held_experts& b)
{
    return a.epoch == b.epoch && a.map == b.map && a.experts == b.experts;
}

bool isOf(const std::optional<platform::held_experts>& list, std::uint64_t epoch, map_version map)
{
    return list && list->epoch == epoch && list->map == map;
}

}

bool held_experts_filter::isReadDue(std::uint64_t epoch, map_version map, time_point now) const
{
    return m_unconfirmed || !isOf(m_believed, epoch, map) || now - m_readAt >= checkInterval;
}

bool held_experts_filter::onList(platform::held_experts list, time_point now)
{
    m_readAt = now;
    const bool isKnown = m_believed && isSame(*m_believed, list);
    const bool isConfirmed = m_unconfirmed && isSame(*m_unconfirmed, list);
    m_isContradicted = isOf(m_unconfirmed, list.epoch, list.map) && !isConfirmed;
    if (!isKnown && !isConfirmed) {
        m_unconfirmed = std::move(list);
        return false;
    }
    m_unconfirmed.reset();
    m_believed = std::move(list);
    return !isKnown;
}

const std::vector<std::vector<expert_number>>* held_experts_filter::experts(std::uint64_t epoch, map_version map) const
{
    return isOf(m_believed, epoch, map) ? &m_believed->experts : nullptr;
}

}
