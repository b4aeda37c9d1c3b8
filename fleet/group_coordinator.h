#pragma once

#include "expert_map/demand_route.h"
#include "expert_map/expert_demand.h"
#include "expert_map/hold_observer.h"
#include "expert_map/map_switch.h"
#include "expert_map/order_statistics.h"
#include "expert_map/placement_planner.h"
#include "state/ids.h"
#include "state/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sardinelb {

class event_log;
struct demand_report_message;
struct rank_message;

// Adapts the expert map of one group to the demand, while this process is the group's coordinator.
class group_coordinator {
public:
    // Limits of the group's expert maps.
    struct limits {
        std::uint32_t expertsPerRank = 0;
        std::uint32_t newExpertsPerRank = 0;
        duration expertCopyTime {};
        // Requests that one rank runs concurrently.
        std::uint32_t slots = 1;
        // Bandwidth of the coordinator's link.
        double linkBytesPerSecond = 1e9;
    };

    struct hooks {
        std::function<void(const map_order&)> sendOrder;
        // A hold that this coordinator saw while in charge has ended.
        std::function<void(const pass_hold&)> onHoldEnded;
        // The outcome of an order has become known.
        std::function<void(const std::string& order, const std::string& outcome)> onOrderOutcome;
        // The lists of the ranks' experts together are not the map in use, so that one of them is wrong. May be empty.
        std::function<void()> onListsContradictory = {};
    };

    group_coordinator(group_id, rank_id coordinator, std::uint32_t groupSize, event_log&, hooks);

    void setLimits(const limits& values) { m_limits = values; }

    const group_id& group() const { return m_group; }
    std::uint32_t groupSize() const { return m_groupSize; }
    // The rank beside this coordinator.
    rank_id localRank() const { return m_localRank; }

    // Processes the report of a rank.
    void onReport(const rank_message&, time_point now);

    // Processes the list of the experts that a rank holds in `map`, read from its runner.
    void onExperts(rank_id, std::uint64_t epoch, map_version map, std::vector<std::vector<expert_number>> expertsBySet);

    // Processes the content of a map that was ordered through the agent beside this coordinator.
    void onPlacement(std::uint64_t epoch, map_version, const std::shared_ptr<const expert_placement>&);

    // Processes a report of the demand of some ranks. Ignored if it is from another epoch.
    void onDemand(const demand_report_message&, time_point now);

    // How the demand should reach this coordinator with at most `bytesPerSecond`.
    demand_route demandRoute(double bytesPerSecond) const;

    void onOrderResult(const map_order&, map_order_result, time_point now);

    // Advances the switch in progress and plans the next one. Must be called ten times a second. A standby coordinator, which
    // is not active, only observes.
    void advance(time_point now, bool isActive);

    // Whether a map switch is in progress. It must be completed or rolled back before the coordinator is destroyed.
    bool isBusy() const { return m_switch.currentStage() != map_switch::stage::Idle; }

    // Whether a rank holds a pass, for this or another coordinator.
    bool isPassHeld() const { return m_switch.isPassHeld(); }

    // Ranks without a recent report, whose runners must be polled directly.
    std::vector<rank_id> silentRanks(time_point now) const;

    // Ranks whose experts must be read from their runners, so that a rollback can continue. Names each rank at most once per
    // interval, since the group pauses for such a read.
    std::vector<rank_id> takeRanksLackingExperts(time_point now);

private:
    void planNextSwitch(time_point now);
    double slotUtilization() const;
    void sendOrders();
    void observe(const rank_status&);
    void reportOrderOutcomes(time_point now);
    void reportContradictoryLists();
    void logStageChange(map_switch::stage before);

    group_id m_group;
    rank_id m_localRank;
    event_log& m_log;
    hooks m_hooks;
    limits m_limits;
    std::uint32_t m_groupSize;
    map_switch m_switch;
    hold_observer m_holds;
    order_statistics m_orders;
    bool m_isActive = false;
    bool m_areListsContradictory = false;
    std::optional<expert_demand> m_demand;
    // Number of experts in all sets. 0 until a demand report has arrived.
    std::size_t m_expertCount = 0;
    // Requests running on each rank.
    std::map<rank_id, std::uint32_t> m_running;
    time_point m_plannedAt;
    time_point m_nextExpertReadAt;
};

}
