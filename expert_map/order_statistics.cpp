#include "expert_map/order_statistics.h"

#include <algorithm>
#include <utility>

namespace sardinelb {

namespace {

// A runner carries out a late order at most this long after it was sent.
constexpr duration maxOrderDelay = std::chrono::seconds(12);

bool isSameOrder(const map_order& a, const map_order& b)
{
    return a.rank == b.rank && a.action == b.action && a.epoch == b.epoch && a.version == b.version && a.step == b.step;
}

// Whether the report shows that the order was carried out. The effects of Disarm and Release cannot be told from others.
bool showsEffect(const rank_status& status, const map_order& order)
{
    if (status.rank != order.rank || status.epoch != order.epoch)
        return false;
    switch (order.action) {
    case map_order::kind::Prepare:
        return status.prepared == order.version;
    case map_order::kind::Arm:
        return status.armed == order.version || status.map == order.version;
    case map_order::kind::Hold:
        return status.held == order.step;
    case map_order::kind::Disarm:
    case map_order::kind::Release:
    case map_order::kind::Seal:
        break;
    }
    return false;
}

}

void order_statistics::onSent(const map_order& order)
{
    const bool isRepeated = std::any_of(m_unanswered.begin(), m_unanswered.end(), [&](const unanswered_order& other) { return isSameOrder(other.order, order); });
    if (isRepeated)
        m_events.push_back({ order.action, outcome::Repeated });
}

void order_statistics::onResult(const map_order& order, map_order_result result, time_point now)
{
    const bool isAnswered = result != map_order_result::Unanswered;
    const auto known = std::find_if(m_unanswered.begin(), m_unanswered.end(), [&](const unanswered_order& other) { return isSameOrder(other.order, order); });
    if (isAnswered) {
        m_events.push_back({ order.action, outcome::Answered });
        if (known != m_unanswered.end())
            m_unanswered.erase(known);
    } else if (known == m_unanswered.end()) {
        m_unanswered.push_back({ order, now });
        m_unanswered.back().order.placement.reset();
        m_unanswered.back().order.basePlacement.reset();
    }
}

void order_statistics::onStatus(const rank_status& status)
{
    std::erase_if(m_unanswered, [&](const unanswered_order& each) {
        if (!showsEffect(status, each.order))
            return false;
        m_events.push_back({ each.order.action, outcome::Late });
        return true;
    });
}

std::vector<order_statistics::event> order_statistics::takeEvents(time_point now)
{
    std::erase_if(m_unanswered, [&](const unanswered_order& each) {
        if (now - each.since < maxOrderDelay)
            return false;
        m_events.push_back({ each.order.action, outcome::Lost });
        return true;
    });
    return std::exchange(m_events, {});
}

}
