#include "fleet/group_coordinator.h"

#include "expert_map/switch_planner.h"
#include "fleet/demand_report_message.h"
#include "fleet/event_log.h"
#include "fleet/fleet_message.h"

#include <algorithm>

namespace sardinelb {

namespace {

constexpr duration planInterval = std::chrono::milliseconds(100);

// Mean number of recent choices per expert below which the demand is too uncertain for a plan.
constexpr double minChoicesPerExpert = 10;

// A rank without a report for this long is silent. Reports arrive ten times a second.
constexpr duration reportTimeout = std::chrono::milliseconds(350);

// The same for the ranks beside coordinators while a pass is held, since the hold may be that of a coordinator that has failed.
constexpr duration coordinatorReportTimeout = std::chrono::milliseconds(150);
constexpr std::uint32_t coordinatorRanks = 3;

// Interval of reading the experts of ranks that have not reported them.
constexpr duration expertReadInterval = std::chrono::milliseconds(300);

// Minimum relative reduction of the pass time by a plan. Executing a plan with less gain would delay one with more.
constexpr double minGain = 0.08;

// Time in which the prepare orders of a switch may take the coordinator's link. Each rank gets all changes of the map.
constexpr double prepareSendSeconds = 0.1;

// Size of a change in a delegated order.
constexpr double bytesPerCopy = 7;

// Maximum number of copies to one rank in a switch.
constexpr std::uint32_t maxCopiesPerRank = 8;

// A copy relieves one rank, so in a larger group it shortens the passes by less while it costs the rank as much.
constexpr double gainPerCopyTimesRanks = 0.24;

// Added to minGain in full for an idle group.
constexpr double idleExtraGain = 0.15;

const char* nameOf(map_switch::stage stage)
{
    switch (stage) {
    case map_switch::stage::Idle:
        return "idle";
    case map_switch::stage::Preparing:
        return "preparing";
    case map_switch::stage::Holding:
        return "holding";
    case map_switch::stage::Arming:
        return "arming";
    case map_switch::stage::Releasing:
        return "releasing";
    case map_switch::stage::RollingBack:
        return "taking_back";
    }
    return "";
}

// Whether the placement has only experts for which demand is counted. Both come from other processes.
bool hasExpertsBelow(const expert_placement& placement, std::size_t experts)
{
    for (const auto& byRank : placement.sets) {
        for (const auto& held : byRank) {
            if (std::any_of(held.begin(), held.end(), [&](expert_number expert) { return expert >= experts; }))
                return false;
        }
    }
    return true;
}

const char* nameOf(pass_hold::end end)
{
    switch (end) {
    case pass_hold::end::Switched:
        return "switched";
    case pass_hold::end::GivenUp:
        return "given_up";
    case pass_hold::end::GroupReformed:
        return "group_reformed";
    }
    return "";
}

const char* nameOf(order_statistics::outcome outcome)
{
    switch (outcome) {
    case order_statistics::outcome::Answered:
        return "answered";
    case order_statistics::outcome::Repeated:
        return "repeated";
    case order_statistics::outcome::Late:
        return "late";
    case order_statistics::outcome::Lost:
        return "lost";
    }
    return "";
}

const char* nameOf(map_order::kind kind)
{
    switch (kind) {
    case map_order::kind::Prepare:
        return "prepare";
    case map_order::kind::Arm:
        return "arm";
    case map_order::kind::Disarm:
        return "disarm";
    case map_order::kind::Hold:
        return "hold";
    case map_order::kind::Release:
        return "release";
    case map_order::kind::Seal:
        return "seal";
    }
    return "";
}

}

group_coordinator::group_coordinator(group_id group, rank_id coordinator, std::uint32_t groupSize, event_log& log, hooks callbacks)
    : m_group(std::move(group))
    , m_localRank(coordinator)
    , m_log(log)
    , m_hooks(std::move(callbacks))
    , m_groupSize(groupSize)
    , m_switch(coordinator, groupSize)
{
}

void group_coordinator::onReport(const rank_message& message, time_point now)
{
    rank_status status = message.status;
    status.receivedAt = now;
    m_running[status.rank] = message.running;
    observe(status);
    m_switch.onReport(status);
}

void group_coordinator::observe(const rank_status& status)
{
    m_orders.onStatus(status);
    if (status.rank != m_switch.holdingRank())
        return;
    const auto ended = m_holds.onStatus(status);
    if (!ended || !m_isActive)
        return;
    const auto milliseconds = [](duration time) { return std::chrono::duration_cast<std::chrono::milliseconds>(time).count(); };
    m_log.write("pass_hold_ended", { { "group", m_group.value() }, { "step", static_cast<std::int64_t>(ended->step.value()) }, { "ordered_here", ended->isOwn }, { "reason", nameOf(ended->endedBy) }, { "held_ms", static_cast<std::int64_t>(milliseconds(ended->held)) }, { "waited_ms", static_cast<std::int64_t>(milliseconds(ended->waited)) } });
    m_hooks.onHoldEnded(*ended);
}

void group_coordinator::reportOrderOutcomes(time_point now)
{
    for (const order_statistics::event& each : m_orders.takeEvents(now))
        m_hooks.onOrderOutcome(nameOf(each.action), nameOf(each.what));
}

void group_coordinator::onExperts(rank_id rank, std::uint64_t epoch, map_version map, std::vector<std::vector<expert_number>> expertsBySet)
{
    m_switch.onExperts(rank, epoch, map, std::move(expertsBySet));
}

void group_coordinator::onPlacement(std::uint64_t epoch, map_version version, const std::shared_ptr<const expert_placement>& placement)
{
    m_switch.onPlacement(epoch, version, placement);
}

void group_coordinator::reportContradictoryLists()
{
    const bool areContradictory = m_switch.areListsContradictory();
    if (areContradictory && !m_areListsContradictory) {
        m_log.write("expert_lists_contradictory", { { "group", m_group.value() } });
        if (m_hooks.onListsContradictory)
            m_hooks.onListsContradictory();
    }
    m_areListsContradictory = areContradictory;
}

void group_coordinator::onDemand(const demand_report_message& message, time_point now)
{
    if (m_switch.ranks().empty())
        return;
    const rank_status& first = m_switch.ranks().begin()->second;
    const auto sets = static_cast<std::uint32_t>(m_switch.setCount());
    if (sets == 0 || message.epoch != first.epoch || message.choices.values.empty())
        return;
    if (message.choices.values.size() % sets != 0) {
        m_log.write("demand_unreadable", { { "group", m_group.value() }, { "counts", static_cast<std::int64_t>(message.choices.values.size()) } });
        return;
    }
    if (!m_demand || m_expertCount != message.choices.values.size())
        m_demand.emplace(sets, static_cast<std::uint32_t>(message.choices.values.size() / sets));
    m_expertCount = message.choices.values.size();
    m_demand->report(message.choices, now);
}

demand_route group_coordinator::demandRoute(double bytesPerSecond) const
{
    // A count takes one byte.
    return chooseDemandRoute(m_groupSize, m_expertCount, bytesPerSecond);
}

void group_coordinator::onOrderResult(const map_order& order, map_order_result result, time_point now)
{
    const auto previousStage = m_switch.currentStage();
    if (result != map_order_result::Accepted)
        m_log.write("map_order_failed", { { "group", m_group.value() }, { "order", nameOf(order.action) }, { "rank", static_cast<std::int64_t>(order.rank.value()) }, { "version", static_cast<std::int64_t>(order.version.value()) }, { "answered", result == map_order_result::Refused } });
    m_orders.onResult(order, result, now);
    m_switch.onOrderResult(order, result, now);
    logStageChange(previousStage);
    sendOrders();
}

void group_coordinator::advance(time_point now, bool isActive)
{
    const auto previousStage = m_switch.currentStage();
    m_isActive = isActive;
    reportOrderOutcomes(now);
    m_switch.advance(now, isActive);
    reportContradictoryLists();
    if (isActive && m_switch.currentStage() == map_switch::stage::Idle && now - m_plannedAt >= planInterval)
        planNextSwitch(now);
    logStageChange(previousStage);
    sendOrders();
}

double group_coordinator::slotUtilization() const
{
    double running = 0;
    for (const auto& [rank, count] : m_running)
        running += count;
    return std::min(1.0, running / (static_cast<double>(m_groupSize) * m_limits.slots));
}

void group_coordinator::planNextSwitch(time_point now)
{
    m_plannedAt = now;
    const auto current = m_switch.currentPlacement(now);
    if (!current || !m_demand || m_limits.expertsPerRank == 0)
        return;
    const std::vector<std::vector<double>> popularity = m_demand->popularity();
    const double experts = static_cast<double>(popularity.size() * popularity.front().size());
    if (m_demand->recentChoices() < minChoicesPerExpert * experts || !hasExpertsBelow(*current, popularity.front().size()))
        return;
    std::vector<double> speeds;
    for (const auto& [rank, status] : m_switch.ranks())
        speeds.push_back(1 / std::max(1.0, status.pace));
    placement_planner::settings settings;
    settings.expertsPerRank = m_limits.expertsPerRank;
    settings.newExpertsPerRank = m_limits.newExpertsPerRank;
    // With few running requests, passes are short under any map, and copies and orders are not worth their cost.
    settings.minimumGain = minGain + idleExtraGain * (1 - slotUtilization());
    settings.copiesPerRank = maxCopiesPerRank;
    settings.copies = static_cast<std::uint32_t>(m_limits.linkBytesPerSecond * prepareSendSeconds / (bytesPerCopy * m_groupSize));
    settings.gainPerCopy = std::min(settings.gainPerCopy, gainPerCopyTimesRanks / m_groupSize);
    const auto plan = switch_planner(settings, m_limits.expertCopyTime).plan(*current, popularity, speeds);
    if (!plan)
        return;
    const duration copyTime = m_limits.expertCopyTime * settings.copiesPerRank;
    if (m_switch.begin(plan->placement, copyTime, now))
        m_log.write("map_plan", { { "group", m_group.value() }, { "version", static_cast<std::int64_t>(m_switch.targetVersion().value()) }, { "copies", static_cast<std::int64_t>(plan->copies) }, { "balance_before", plan->balanceBefore }, { "balance_after", plan->balanceAfter } });
}

std::vector<rank_id> group_coordinator::silentRanks(time_point now) const
{
    std::vector<rank_id> silent;
    for (std::uint32_t rank = 0; rank < m_groupSize; ++rank) {
        const auto known = m_switch.ranks().find(rank_id(rank));
        const bool isUrgent = rank < coordinatorRanks && m_switch.isPassHeld();
        const duration timeout = isUrgent ? coordinatorReportTimeout : reportTimeout;
        if (known == m_switch.ranks().end() || now - known->second.receivedAt > timeout)
            silent.emplace_back(rank);
    }
    return silent;
}

std::vector<rank_id> group_coordinator::takeRanksLackingExperts(time_point now)
{
    if (now < m_nextExpertReadAt)
        return {};
    std::vector<rank_id> lacking = m_switch.ranksLackingExperts();
    if (!lacking.empty()) {
        m_nextExpertReadAt = now + expertReadInterval;
        m_log.write("map_rollback_waits", { { "group", m_group.value() }, { "ranks", static_cast<std::int64_t>(lacking.size()) } });
    }
    return lacking;
}

void group_coordinator::sendOrders()
{
    for (const map_order& order : m_switch.takeOrders()) {
        m_orders.onSent(order);
        if (order.action == map_order::kind::Hold)
            m_holds.onHoldOrdered(order.step);
        m_hooks.sendOrder(order);
    }
}

void group_coordinator::logStageChange(map_switch::stage previousStage)
{
    if (m_switch.currentStage() != previousStage)
        m_log.write("map_switch", { { "group", m_group.value() }, { "version", static_cast<std::int64_t>(m_switch.targetVersion().value()) }, { "stage", nameOf(m_switch.currentStage()) } });
}

}
