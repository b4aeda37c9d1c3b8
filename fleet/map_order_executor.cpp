#include "fleet/map_order_executor.h"

#include "expert_map/map_content.h"

#include <algorithm>

namespace sardinelb {

namespace {

// Bound on the experts of all sets and on the ranks of all sets, far above any group, so that a corrupted message cannot use up
// the memory of the process.
constexpr std::uint64_t maxPlacementSize = 1 << 20;

// An order without an answer may be carried out later, so the maps of the last few are kept.
constexpr std::size_t maxPlacements = 4;

bool hasAcceptableSize(const delegated_order_message& message)
{
    return static_cast<std::uint64_t>(message.sets) * std::max(message.experts, message.ranks) <= maxPlacementSize;
}

}

std::optional<map_order> map_order_executor::complete(const delegated_order_message& message)
{
    map_order order = message.order;
    if (order.action != map_order::kind::Prepare)
        return order;
    if (order.epoch != m_epoch)
        m_placements.clear();
    m_epoch = order.epoch;
    std::optional<expert_placement> placement;
    if (!message.base && hasAcceptableSize(message)) {
        placement = applyDelta(roundRobinPlacement(message.sets, message.experts, message.ranks), message.delta);
    } else if (message.base) {
        const auto known = m_placements.find(*message.base);
        if (known != m_placements.end())
            placement = applyDelta(*known->second, message.delta);
    }
    // A difference from the round-robin placement is the whole map. A coordinator of an earlier build gives it a version without a valid digest.
    const bool isOtherContent = placement && message.base && !isContentOf(order.version, *placement);
    if (!placement || isOtherContent)
        return std::nullopt;
    order.placement = std::make_shared<expert_placement>(std::move(*placement));
    return order;
}

void map_order_executor::onPrepareSent(const map_order& order, map_version inUse)
{
    if (sequenceOf(order.version) > 0)
        onPrepared(order, inUse);
}

void map_order_executor::onPrepared(const map_order& order, map_version inUse)
{
    if (order.epoch != m_epoch)
        m_placements.clear();
    m_epoch = order.epoch;
    m_placements[order.version] = order.placement;
    for (auto known = m_placements.begin(); known != m_placements.end() && m_placements.size() > maxPlacements;)
        known = known->first == inUse || known->first == order.version ? std::next(known) : m_placements.erase(known);
}

std::shared_ptr<const expert_placement> map_order_executor::placementOf(std::uint64_t epoch, map_version version) const
{
    const auto known = m_placements.find(version);
    return epoch == m_epoch && known != m_placements.end() ? known->second : nullptr;
}

}
