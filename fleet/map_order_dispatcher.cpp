#include "fleet/map_order_dispatcher.h"

#include <algorithm>
#include <vector>

namespace sardinelb {

namespace {

// Covers an agent's own timeout for its runner, the link and a turn of the processor.
constexpr duration agentTimeout = std::chrono::milliseconds(200);

// Time after which an order other than a prepare order also goes directly to the runner.
constexpr duration directCopyDelay = std::chrono::milliseconds(40);

// An agent that missed this many orders in a row is probably down or cut off; its runner may still be reached. A single
// order may be lost on the way.
constexpr std::uint32_t maxMissedOrders = 2;

// After this time the agent is tried again.
constexpr duration passOverTime = std::chrono::seconds(2);

// Whole maps in flight at once.
constexpr std::ptrdiff_t maxWholeMaps = 4;

bool isSameOrder(const map_order& a, const map_order& b)
{
    return a.rank == b.rank && a.action == b.action && a.epoch == b.epoch && a.version == b.version && a.step == b.step;
}

std::size_t expertCount(const expert_placement& placement)
{
    std::size_t count = 0;
    for (const auto& experts : placement.sets.front()) {
        for (const expert_number expert : experts)
            count = std::max<std::size_t>(count, expert + 1U);
    }
    return count;
}

map_order_result toOrderResult(delegated_result_message::outcome outcome)
{
    switch (outcome) {
    case delegated_result_message::outcome::Accepted:
        return map_order_result::Accepted;
    case delegated_result_message::outcome::Refused:
        return map_order_result::Refused;
    case delegated_result_message::outcome::Unanswered:
    case delegated_result_message::outcome::BaseUnknown:
        break;
    }
    return map_order_result::Unanswered;
}

}

map_order_dispatcher::map_order_dispatcher(group_id group, rank_id local, std::uint64_t firstId, hooks callbacks)
    : m_group(std::move(group))
    , m_local(local)
    , m_hooks(std::move(callbacks))
    , m_nextId(firstId)
{
}

bool map_order_dispatcher::isDelegable(const map_order& order, time_point now) const
{
    // Only the witness may give these orders to the rank.
    if (order.isWitnessed)
        return true;
    // Holds and releases are single orders, for which the way through an agent would only take longer.
    if (order.rank == m_local || order.action == map_order::kind::Hold || order.action == map_order::kind::Release)
        return false;
    if (order.placement && order.placement->sets.empty())
        return false;
    return !isAgentSilent(order.rank, now) || (order.placement && !canSendWholeMap());
}

bool map_order_dispatcher::isAgentSilent(rank_id rank, time_point now) const
{
    if (std::find(m_silent.begin(), m_silent.end(), rank) != m_silent.end())
        return true;
    const auto missed = m_missed.find(rank);
    return missed != m_missed.end() && missed->second.count >= maxMissedOrders && now - missed->second.lastAt < passOverTime;
}

bool map_order_dispatcher::canSendWholeMap() const
{
    return std::count_if(m_direct.begin(), m_direct.end(), [](const map_order& order) { return order.placement != nullptr; }) < maxWholeMaps;
}

bool map_order_dispatcher::isInFlight(const map_order& order) const
{
    const bool isDelegated = std::any_of(m_pending.begin(), m_pending.end(), [&](const auto& entry) { return isSameOrder(entry.second.order, order); });
    return isDelegated || std::any_of(m_direct.begin(), m_direct.end(), [&](const map_order& other) { return isSameOrder(other, order); });
}

void map_order_dispatcher::onDirectResult(const map_order& order, map_order_result result)
{
    const auto inFlight = std::erase_if(m_direct, [&](const map_order& other) { return isSameOrder(other, order); });
    if (inFlight == 0)
        // The agent has answered before.
        return;
    const auto pending = std::find_if(m_pending.begin(), m_pending.end(), [&](const auto& entry) { return isSameOrder(entry.second.order, order); });
    if (pending != m_pending.end()) {
        if (result == map_order_result::Unanswered)
            return;
        m_pending.erase(pending);
    }
    m_hooks.onResult(order, result);
}

void map_order_dispatcher::dispatch(const map_order& order, time_point now)
{
    if (isInFlight(order))
        return;
    if (isDelegable(order, now))
        sendToAgent(order, true, now);
    else
        sendDirectly(order);
}

void map_order_dispatcher::sendDirectly(const map_order& order)
{
    m_direct.push_back(order);
    m_hooks.sendDirectly(order);
}

void map_order_dispatcher::computeDeltas(const map_order& order)
{
    const expert_placement& target = *order.placement;
    const bool hasBase = order.basePlacement && order.basePlacement->sets.size() == target.sets.size();
    m_deltaTarget = order.placement;
    m_targetExperts = expertCount(target);
    m_deltaFromRoundRobin = differenceOf(roundRobinPlacement(target.sets.size(), m_targetExperts, target.sets.front().size()), target);
    m_deltaFromBase = hasBase ? std::optional(differenceOf(*order.basePlacement, target)) : std::nullopt;
}

void map_order_dispatcher::setDelta(delegated_order_message& message, const map_order& order, bool isBaseKnown)
{
    if (m_deltaTarget != order.placement)
        computeDeltas(order);
    const expert_placement& target = *order.placement;
    message.sets = static_cast<std::uint16_t>(target.sets.size());
    message.experts = static_cast<std::uint16_t>(m_targetExperts);
    message.ranks = static_cast<std::uint16_t>(target.sets.front().size());
    // A map of the early life of a group often differs less from the round-robin placement that it started with.
    const bool isBaseShorter = m_deltaFromBase && m_deltaFromBase->changes.size() < m_deltaFromRoundRobin.changes.size();
    if (isBaseKnown && isBaseShorter) {
        message.base = order.base;
        message.delta = *m_deltaFromBase;
    } else {
        message.delta = m_deltaFromRoundRobin;
    }
}

void map_order_dispatcher::sendToAgent(const map_order& order, bool isBaseKnown, time_point now)
{
    delegated_order_message message;
    message.id = m_nextId++;
    message.group = m_group;
    message.order = order;
    if (order.placement)
        setDelta(message, order, isBaseKnown);
    m_pending[message.id] = { order, now, false, !message.base };
    m_hooks.sendToAgent(message);
}

void map_order_dispatcher::onDelegatedResult(const delegated_result_message& message, time_point now)
{
    const auto found = m_pending.find(message.id);
    if (found == m_pending.end())
        return;
    const map_order order = found->second.order;
    const bool isWhole = found->second.isWhole;
    m_pending.erase(found);
    if (!order.isWitnessed)
        m_missed.erase(order.rank);
    std::erase_if(m_direct, [&](const map_order& other) { return isSameOrder(other, order); });
    if (message.result == delegated_result_message::outcome::BaseUnknown && !isWhole)
        sendToAgent(order, false, now);
    else
        m_hooks.onResult(order, toOrderResult(message.result));
}

void map_order_dispatcher::advance(time_point now)
{
    for (auto& [id, pending] : m_pending) {
        const bool mayGoDirectly = !pending.order.placement || (isAgentSilent(pending.order.rank, now) && canSendWholeMap());
        const bool isDue = mayGoDirectly && now - pending.sentAt >= directCopyDelay;
        if (pending.isSentDirectly || pending.order.isWitnessed || !isDue)
            continue;
        pending.isSentDirectly = true;
        sendDirectly(pending.order);
    }
    std::vector<map_order> unanswered;
    std::erase_if(m_pending, [&](const auto& entry) {
        if (now - entry.second.sentAt < agentTimeout)
            return false;
        unanswered.push_back(entry.second.order);
        return true;
    });
    for (const map_order& order : unanswered) {
        if (order.isWitnessed) {
            m_hooks.onResult(order, map_order_result::Unanswered);
            continue;
        }
        missed_orders& missed = m_missed[order.rank];
        ++missed.count;
        missed.lastAt = now;
        const bool isStillSent = std::any_of(m_direct.begin(), m_direct.end(), [&](const map_order& other) { return isSameOrder(other, order); });
        if (!isStillSent)
            m_hooks.onResult(order, map_order_result::Unanswered);
    }
}

}
