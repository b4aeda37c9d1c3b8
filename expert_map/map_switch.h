#pragma once

#include "expert_map/expert_placement.h"
#include "expert_map/map_order.h"
#include "expert_map/map_order_result.h"
#include "expert_map/rank_status.h"
#include "state/ids.h"
#include "state/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace sardinelb {

// Brings a group to a new expert map such that no pass begins while two ranks use different maps.
//
// All ranks prepare the map. Then rank 0 is told to hold a pass a little ahead; while it is held, all ranks are armed for
// that pass, and only when each of them has confirmed this is the pass released, mostly before the group reaches it. If a
// rank does not confirm, the switch is taken back: each rank is disarmed and prepares a still higher version, after which it
// refuses an arm order that arrives late; then the pass is released. A coordinator that finds a hold of another one which
// has not moved for a second does the same. Pure state machine: orders go out through takeOrders().
class map_switch {
public:
    enum class stage {
        Idle,
        // The ranks copy experts.
        Preparing,
        // Rank 0 is told to hold a pass.
        Holding,
        // The ranks are armed while the pass is held.
        Arming,
        // All ranks are armed, or none is: the pass is released.
        Releasing,
        // The switch is taken back.
        RollingBack,
    };

    // `coordinator` is the rank beside which this coordinator runs; coordinators on different ranks hold different passes.
    map_switch(rank_id coordinator, std::uint32_t groupSize);

    void report(const rank_status&);

    // Starts a switch. Returns false if one is under way, a rank is not known, or the pause after a failure is not over.
    bool begin(const expert_placement&, duration copyTime, time_point now);

    void onOrderResult(const map_order&, map_order_result, time_point now);

    // Goes on as time passes. Call ten times a second. A coordinator that does not lead ends its own switch and otherwise only
    // watches, so that it knows how long a hold has stood when it takes over.
    void advance(time_point now, bool isLeading);

    // Orders to send now, in this order.
    std::vector<map_order> takeOrders();

    // The map in use, if all ranks report the same one and nothing is under way.
    std::optional<expert_placement> currentPlacement(time_point now) const;

    stage now() const { return m_stage; }
    map_version targetVersion() const { return m_version; }
    // Whether every rank has reported lately.
    bool isComplete(time_point now) const;
    const std::map<rank_id, rank_status>& ranks() const { return m_ranks; }

private:
    void forgetIfStopped(time_point now);
    void enter(stage, time_point now);
    void abandon(duration pause, time_point now);
    void order(map_order::kind, rank_id, map_version, step_number, std::shared_ptr<const expert_placement> placement = nullptr);
    void startHolding(time_point now);
    void startArming(time_point now);
    void startRelease(time_point now);
    void startTakingBack(time_point now);
    void prepareAnswered(const map_order&, map_order_result, time_point now);
    void holdAnswered(const map_order&, map_order_result, time_point now);
    void armAnswered(const map_order&, map_order_result, time_point now);
    void advancePreparing(time_point now);
    void advanceHolding(time_point now);
    void advanceArming(time_point now);
    void advanceReleasing(time_point now);
    void advanceTakingBack(time_point now);
    void takeBack(const rank_status&, time_point now);
    void watchForeignHold(time_point now, bool isLeading);
    bool allPrepared(map_version) const;
    // Whether all ranks are armed, for the same map.
    bool areAllArmed() const;
    std::uint64_t highestVersion() const;
    map_version nextVersion();
    std::uint64_t highestStep() const;
    std::optional<step_number> heldStep() const;
    std::shared_ptr<const expert_placement> placementInUse() const;

    rank_id m_coordinator;
    std::uint32_t m_groupSize;
    std::map<rank_id, rank_status> m_ranks;
    std::uint64_t m_epoch = 0;
    stage m_stage = stage::Idle;
    time_point m_stageSince;
    time_point m_notBefore;
    // When this coordinator last did anything.
    time_point m_lastRun;
    map_version m_version;
    // Version that makes late orders for m_version void.
    map_version m_voidVersion;
    step_number m_step;
    std::shared_ptr<const expert_placement> m_placement;
    duration m_copyTime {};
    std::uint32_t m_holdTries = 0;
    std::set<rank_id> m_armed;
    // Whether an order to prepare went unanswered and was sent again.
    bool m_isRepeated = false;
    std::map<rank_id, time_point> m_lastTry;
    // When the last order to each rank was answered; only later reports show what it did.
    std::map<rank_id, time_point> m_lastAnswer;
    std::vector<map_order> m_orders;
    // A hold or armed rank that no switch of this coordinator explains, and since when.
    std::optional<time_point> m_foreignSince;
    std::uint64_t m_highestUsed = 0;
    // Passes that this coordinator told rank 0 to hold.
    std::set<step_number> m_holds;
};

}
