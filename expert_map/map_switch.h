#pragma once

#include "expert_map/expert_placement.h"
#include "expert_map/map_order.h"
#include "expert_map/map_order_result.h"
#include "expert_map/rank_status.h"
#include "state/ids.h"
#include "state/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace sardinelb {

// Switches a rank group to a new expert map such that no forward pass begins while two ranks use different maps.
//
// 1. All ranks prepare the map, which copies the experts they lack.
// 2. The last rank is ordered to hold a pass shortly ahead of the current one. Coordinators run beside the first ranks, so that
//    a hold can be seen and released when the machine of its coordinator has failed.
// 3. While the pass is held, all ranks are armed to switch at that pass.
// 4. Once every rank has confirmed, the pass is released, usually before the group reaches it.
//
// The ranks decide the outcome by their own state, so that any number of coordinators may act at once, and late orders of one
// that was paused or killed change nothing:
//
// - The switch is committed once all ranks are armed. No rank is disarmed unless another one has become void.
// - It is rolled back once a rank is void: unarmed, with a higher version prepared, so that it refuses to be armed. Only an
//   unarmed rank takes a prepare order. Then the armed ranks are disarmed and all ranks are made void.
// - The pass is released when all ranks are armed, or when all are void.
//
// One rank, the witnessed one, has the number (held pass mod 3), which is the rank beside the coordinator that ordered the hold.
// It gets its arm order after all others, and only through its witness, the agent beside the last rank. If the coordinator's
// machine fails and the witnessed rank cannot be reached, the witness knows whether it sent that order. If it did not, it promises
// never to send one (Seal), and the rank counts as void for the held pass.
//
// Both states of a rank are final for the version, so an old report that shows one is still true. A version is armed only for one
// pass, and no coordinator process holds the same pass twice.
//
// All ranks get one content of a map: its version carries a digest of it (see map_content.h), a coordinator takes the map in use from
// what was ordered, and uses the ranks' lists of their experts only if together they have the digest.
//
// Arm orders without an answer are sent again until a rank refuses: rolling back takes more orders than completing. A coordinator,
// also a standby one, that finds another's hold unchanged for foreignHoldTimeout completes that switch if some rank is armed
// and no rank is void, and otherwise rolls it back. Pure state machine: takeOrders() returns the orders to send.
class map_switch {
public:
    enum class stage {
        Idle,
        // The ranks copy experts.
        Preparing,
        // The last rank has been ordered to hold a pass.
        Holding,
        // The pass is held and the ranks are being armed.
        Arming,
        // All ranks are armed, or none is, and the pass is being released.
        Releasing,
        // The ranks are being disarmed and made to refuse late orders.
        RollingBack,
    };

    // `coordinator` is the rank that this coordinator runs next to. It determines the map versions and step numbers that this
    // coordinator uses, so that coordinators of neighboring ranks do not take each other's versions and holds for their own.
    map_switch(rank_id coordinator, std::uint32_t groupSize);

    void onReport(const rank_status&);

    // Handles the list of the experts of a rank that holds them in `map`. Ignored if the rank has since reported another map.
    void onExperts(rank_id, std::uint64_t epoch, map_version map, std::vector<std::vector<expert_number>> expertsBySet);

    // Handles the content of a map that was ordered, as known to the agent beside this coordinator. Ignored if it is not the content
    // that the version stands for.
    void onPlacement(std::uint64_t epoch, map_version, std::shared_ptr<const expert_placement>);

    // Ranks whose experts must be known before a rollback can continue. Their runners must be asked, because reports list the
    // experts only now and then, and not at all while an agent is down.
    std::vector<rank_id> ranksLackingExperts() const;

    // The number of expert sets of the group's maps. 0 while no map is known.
    std::size_t setCount() const { return m_placements.empty() ? 0 : m_placements.rbegin()->second->sets.size(); }

    // Whether the lists of all ranks together are not the map in use, so that one of them is wrong.
    bool areListsContradictory() const { return m_contradictorySince.has_value(); }

    // Starts a switch. Returns false if a switch is in progress, a rank has no recent report or its experts are not known, or
    // the retry delay after a failure has not passed.
    bool begin(const expert_placement&, duration copyTime, time_point now);

    void onOrderResult(const map_order&, map_order_result, time_point now);

    // Handles timeouts and resends. Call at least ten times per second. A standby coordinator also completes or rolls back a
    // switch whose hold it finds unchanged for too long.
    void advance(time_point now, bool isInCharge);

    // Whether a rank holds a pass.
    bool isPassHeld() const { return currentHold().has_value(); }

    // The rank that holds the passes of this coordinator's switches.
    rank_id holdingRank() const { return rank_id(m_groupSize - 1); }

    // Returns the queued orders in the sequence in which to send them, and clears the queue.
    std::vector<map_order> takeOrders();

    // The map in use, if all ranks report the same one and no switch is in progress.
    std::optional<expert_placement> currentPlacement(time_point now) const;

    stage currentStage() const { return m_stage; }
    map_version targetVersion() const { return m_version; }
    // Whether the whole group is open and every rank has a recent report.
    bool isComplete(time_point now) const;
    const std::map<rank_id, rank_status>& ranks() const { return m_ranks; }

private:
    void resetIfPaused(time_point now);
    void observePassTime(const rank_status&);
    std::uint64_t passesAhead() const;
    void enterStage(stage, time_point now);
    void returnToIdle(duration retryDelay, time_point now);
    void queueOrder(map_order::kind, rank_id, map_version, step_number, std::shared_ptr<const expert_placement> placement = nullptr);
    void startHolding(time_point now);
    void startArming(time_point now);
    // Arms the witnessed rank once all others are armed and, for another coordinator's switch, the rank has reported since.
    void armWitnessedRank(time_point now);
    void adoptSwitch(map_version, time_point now);
    void startRelease(time_point now);
    bool isUnreachable(rank_id, time_point now) const;
    void startRollback(time_point now);
    void onPrepareResult(const map_order&, map_order_result, time_point now);
    void onHoldResult(const map_order&, map_order_result, time_point now);
    void onArmResult(const map_order&, map_order_result, time_point now);
    void advancePreparing(time_point now);
    void advanceHolding(time_point now);
    void advanceArming(time_point now);
    void advanceReleasing(time_point now);
    void advanceRollback(time_point now);
    // The rank that is armed through the witness for the held pass. Nothing if the group is too small, or if the pass is held for an
    // earlier build.
    std::optional<rank_id> witnessedRank() const;
    // Deals with a witnessed rank that cannot be reached. Returns whether the rollback can go on.
    bool sealWitnessedRank(time_point now);
    void onSealResult(const map_order&, map_order_result, time_point now);
    void rollBackRank(const rank_status&, time_point now);
    void watchForeignHold(time_point now, bool isInCharge);
    void resolveHold(time_point now);
    bool areAllPrepared(map_version) const;
    // Whether all ranks are armed for the same map.
    bool areAllArmed() const;
    // Whether the rank can no longer be armed for this version, nor for a lower one.
    bool isVoid(const rank_status&, map_version) const;
    // The version whose switch at the held pass can be completed: a rank is armed for it, and all others are or can be.
    std::optional<map_version> completableVersion() const;
    // Whether the pass of this switch has begun, by any report.
    bool hasPassBegun() const;
    std::uint64_t highestSequence() const;
    map_version nextVersion(const expert_placement&);
    std::uint64_t highestStep() const;
    struct hold {
        rank_id rank;
        step_number step;
    };

    std::optional<hold> currentHold() const;
    std::optional<step_number> heldStep() const;
    // The map in use, or nullptr while its content is not known or ranks report different maps.
    std::shared_ptr<const expert_placement> placementInUse() const;
    // The version that all ranks report as in use.
    std::optional<map_version> commonMap() const;
    // What the ranks' lists together say of the map in use, or nullptr while a list is missing.
    std::shared_ptr<const expert_placement> assemblePlacement() const;
    // Learns the map in use from the ranks' lists if no process has told its content.
    void updatePlacementInUse(time_point now);
    void rememberPlacement(map_version, std::shared_ptr<const expert_placement>);
    void startEpoch(std::uint64_t epoch);
    // Updates the map that ranks prepare in a rollback. Returns false while the map in use is not known.
    bool updateRollbackPlacement();

    rank_id m_coordinator;
    std::uint32_t m_groupSize;
    // Reports of the current epoch.
    std::map<rank_id, rank_status> m_ranks;
    // The content of maps of this epoch: those ordered here or by way of the agent beside this coordinator, and the map in use.
    std::map<map_version, std::shared_ptr<const expert_placement>> m_placements;
    // Lists that contradict the map in use, and since when all ranks have listed the same.
    std::shared_ptr<const expert_placement> m_contradictoryLists;
    std::optional<time_point> m_contradictorySince;
    std::uint64_t m_epoch = 0;
    stage m_stage = stage::Idle;
    time_point m_stageSince;
    // No switch starts before this time.
    time_point m_nextSwitchAt;
    // Last call of advance() or onOrderResult(); a long gap shows that the process was paused.
    time_point m_lastRun;
    map_version m_version;
    // Version that the ranks prepare in a rollback, so that they refuse late orders for m_version.
    map_version m_rollbackVersion;
    // The held pass that the rollback is for.
    std::optional<step_number> m_rollbackStep;
    // Whether the rollback is of a switch that another coordinator has left undecided.
    bool m_isForeignRollback = false;
    step_number m_step;
    // Rank that holds the pass of this switch.
    rank_id m_holder;
    std::shared_ptr<const expert_placement> m_placement;
    // The map in use when m_placement was chosen, and its version.
    std::shared_ptr<const expert_placement> m_basePlacement;
    map_version m_base;
    duration m_copyTime {};
    std::uint32_t m_holdAttempts = 0;
    std::set<rank_id> m_armedRanks;
    bool m_isWitnessedArmSent = false;
    // When a rank refused to be armed. It may have done so because the pass had begun.
    std::map<rank_id, time_point> m_armRefusedAt;
    struct accepted_prepare {
        map_version version;
        time_point at;
    };

    // The highest version that each rank has accepted to prepare for this coordinator.
    std::map<rank_id, accepted_prepare> m_acceptedVersions;
    // Passes for which the witness has confirmed that the witnessed rank is not armed and will not be, or that it may be.
    std::set<step_number> m_sealedSteps;
    std::set<step_number> m_unsealableSteps;
    time_point m_sealSentAt;
    // The version that each rank has accepted to be disarmed for, until the next report after that.
    std::map<rank_id, map_version> m_disarmedVersions;
    // Whether a prepare order of this switch got no answer and was sent again.
    bool m_hasResentPrepare = false;
    // When the last order of this stage was sent to each rank.
    std::map<rank_id, time_point> m_lastSentAt;
    // When each rank last answered an order; only later reports show the effect of that order.
    std::map<rank_id, time_point> m_lastAnswerAt;
    std::vector<map_order> m_orders;
    // Since when a hold or an armed rank has been reported that belongs to no switch of this coordinator.
    std::optional<time_point> m_foreignSince;
    // The pass that was held then.
    std::optional<step_number> m_foreignStep;
    std::uint64_t m_highestUsedSequence = 0;
    // Smoothed time from a hold order to the release.
    duration m_confirmTime {};
    time_point m_holdOrderedAt;
    // Smoothed time of a pass. 0 while it is not known.
    duration m_passTime {};
    // The last pass that began, and when rank 0 first reported it.
    step_number m_lastStep;
    time_point m_lastStepAt;
    // Passes that this coordinator has ordered to be held, by epoch. None of them is held a second time: a late release of the
    // first hold would end the second one. Kept for all epochs, since a report may name a wrong one.
    std::set<std::pair<std::uint64_t, step_number>> m_requestedHolds;
};

}
