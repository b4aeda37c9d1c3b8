#include "expert_map/map_content.h"
#include "expert_map/map_switch.h"
#include "expert_map/placement_delta.h"

#include <gtest/gtest.h>

#include <memory>
#include <utility>
#include <vector>

namespace sardinelb::test {

using std::chrono::milliseconds;

class map_content : public testing::Test { };

// Guards against a digest that lets a wrong map pass for the one ordered.
TEST_F(map_content, placementWithOneChange_checked_isNotTheContent)
{
    for (const std::size_t ranks : { 8U, 32U, 96U }) {
        const expert_placement placement = roundRobinPlacement(16, 192, ranks);
        const map_version version = mapVersion(5, placement);
        EXPECT_EQ(sequenceOf(version), 5U);
        EXPECT_TRUE(isContentOf(version, placement));
        for (std::size_t set = 0; set < placement.sets.size(); ++set) {
            expert_placement neighbour = placement;
            neighbour.sets[set][ranks - 1][0] ^= 1;
            EXPECT_FALSE(isContentOf(version, neighbour));
            expert_placement missing = placement;
            missing.sets[set][0].pop_back();
            EXPECT_FALSE(isContentOf(version, missing));
            expert_placement alike = placement;
            alike.sets[set][0].push_back(alike.sets[set][0].front());
            EXPECT_FALSE(isContentOf(version, alike));
            expert_placement exchanged = placement;
            std::swap(exchanged.sets[set][0], exchanged.sets[set][1]);
            EXPECT_FALSE(isContentOf(version, exchanged));
        }
    }
}

// Guards against ranks that list their experts in another sequence and so stop all switches.
TEST_F(map_content, expertsInAnotherSequence_checked_isTheContent)
{
    expert_placement placement = roundRobinPlacement(2, 16, 4);
    const map_version version = mapVersion(1, placement);
    std::swap(placement.sets[1][2].front(), placement.sets[1][2].back());
    EXPECT_TRUE(isContentOf(version, placement));
}

// Guards against a group that does not switch beside coordinators of an earlier build.
TEST_F(map_content, versionOfAnEarlierBuild_checked_anyPlacementIsPossible)
{
    EXPECT_TRUE(isContentOf(map_version(57), roundRobinPlacement(2, 16, 4)));
}

TEST_F(map_content, versionsInSequence_compared_increase)
{
    EXPECT_LT(mapVersion(1, roundRobinPlacement(6, 64, 8)), mapVersion(2, roundRobinPlacement(1, 1, 1)));
    EXPECT_LT(mapVersion(maxMapSequence, {}).value(), 1ULL << 52);
}

TEST_F(map_content, placementWithAGap_checked_isNotWhole)
{
    const expert_placement whole = roundRobinPlacement(2, 16, 4);
    EXPECT_TRUE(isWholePlacement(whole));
    EXPECT_TRUE(isWithoutCopies(whole));
    expert_placement gap = whole;
    gap.sets[1][0].erase(gap.sets[1][0].begin());
    EXPECT_FALSE(isWholePlacement(gap));
    expert_placement fewer = whole;
    fewer.sets[1][3].pop_back();
    EXPECT_FALSE(isWholePlacement(fewer));
    expert_placement copied = whole;
    copied.sets[0][0].push_back(1);
    EXPECT_TRUE(isWholePlacement(copied));
    EXPECT_FALSE(isWithoutCopies(copied));
    EXPECT_FALSE(isWholePlacement({}));
}

// A coordinator beside rank 0 of four, to which all ranks report.
class map_in_use : public testing::Test {
protected:
    map_in_use()
        : lists(roundRobinPlacement(2, 16, 4))
    {
    }

    void report(time_point now)
    {
        for (std::uint32_t number = 0; number < 4; ++number) {
            rank_status status;
            status.rank = rank_id(number);
            status.epoch = epochOf[number];
            status.step = step_number(stepOf[number]);
            status.map = map;
            status.isWitness = true;
            status.expertsBySet = expertsOf(lists, rank_id(number));
            status.receivedAt = now;
            coordinator.onReport(status);
        }
        coordinator.advance(now, true);
    }

    // Reports ten times a second from `begin` on.
    void reportFor(milliseconds time)
    {
        for (const milliseconds end = clock + time; clock < end; clock += milliseconds(100))
            report(time_point(clock));
    }

    std::optional<expert_placement> known() const { return coordinator.currentPlacement(time_point(clock)); }

    expert_placement lists;
    map_version map;
    std::vector<std::uint64_t> epochOf { 1, 1, 1, 1 };
    std::vector<std::uint64_t> stepOf { 10, 10, 10, 10 };
    milliseconds clock { 1000 };
    map_switch coordinator { rank_id(0), 4 };
};

// Guards against passes with two contents of one map: the coordinator planned from a rank's wrong list of the map that it had ordered
// itself, and the ranks applied the difference to different maps.
TEST_F(map_in_use, wrongListOfAnOrderedMap_planned_ordersReferToTheOrderedMap)
{
    reportFor(milliseconds(800));
    expert_placement target = lists;
    target.sets[0][1].push_back(0);
    ASSERT_TRUE(coordinator.begin(target, milliseconds(10), time_point(clock)));
    map = coordinator.takeOrders().front().version;
    lists = target;
    lists.sets[1][3][0] ^= 1;
    reportFor(milliseconds(4000));
    ASSERT_TRUE(known());
    EXPECT_EQ(*known(), target);
    ASSERT_TRUE(coordinator.begin(lists, milliseconds(10), time_point(clock)));
    EXPECT_EQ(*coordinator.takeOrders().front().basePlacement, target);
}

// Guards against a coordinator without memory that plans from a wrong list, and against one that never plans again.
TEST_F(map_in_use, coordinatorWithoutMemory_listWrongThenSound_learnsTheSoundMap)
{
    map = mapVersion(3, lists);
    const expert_placement sound = lists;
    lists.sets[0][2][1] ^= 1;
    reportFor(milliseconds(500));
    EXPECT_FALSE(known());
    EXPECT_TRUE(coordinator.areListsContradictory());
    lists = sound;
    reportFor(milliseconds(200));
    ASSERT_TRUE(known());
    EXPECT_EQ(*known(), sound);
    EXPECT_FALSE(coordinator.areListsContradictory());
}

// Guards against a wrong list in a group that has just formed, whose map has no digest.
TEST_F(map_in_use, groupFormsAnew_listsWrong_notUsed)
{
    const expert_placement sound = lists;
    for (int change = 0; change < 4; ++change) {
        lists = sound;
        auto& held = lists.sets[1][2];
        if (change == 0)
            held[0] ^= 1;
        else if (change == 1)
            held.pop_back();
        else if (change == 2)
            held[1] = held[0];
        else
            held.push_back(static_cast<expert_number>(held[0] + 1));
        reportFor(milliseconds(200));
        EXPECT_FALSE(known()) << change;
    }
    lists = sound;
    reportFor(milliseconds(200));
    EXPECT_EQ(known(), sound);
}

// Guards against a group that stops switching beside a coordinator of an earlier build, whose versions follow those of this one.
TEST_F(map_in_use, versionWithoutValidDigest_listsStayTheSame_usedAfterAWhile)
{
    map = map_version(mapVersion(3, lists).value() + 3);
    reportFor(milliseconds(2500));
    EXPECT_FALSE(known());
    reportFor(milliseconds(1000));
    EXPECT_EQ(known(), lists);
}

// Guards against a group that never switches again after some ranks have reported a wrong epoch.
TEST_F(map_in_use, someRanksReportAHigherEpoch_thenTheRightOne_switchBegins)
{
    epochOf = { 1, 7, 1, 7 };
    reportFor(milliseconds(200));
    epochOf = { 1, 1, 1, 1 };
    reportFor(milliseconds(800));
    EXPECT_TRUE(known());
    EXPECT_TRUE(coordinator.begin(lists, milliseconds(10), time_point(clock)));
}

// Guards against a hold of a pass that the group does not reach, after which its ranks stay armed for good.
TEST_F(map_in_use, oneRankReportsAStepFarAhead_passHeld_isNearTheOthers)
{
    reportFor(milliseconds(800));
    ASSERT_TRUE(coordinator.begin(lists, milliseconds(10), time_point(clock)));
    const map_version version = coordinator.takeOrders().front().version;
    stepOf[2] = 1000000;
    for (std::uint32_t number = 0; number < 4; ++number) {
        rank_status status;
        status.rank = rank_id(number);
        status.epoch = 1;
        status.step = step_number(stepOf[number]);
        status.prepared = version;
        status.isWitness = true;
        status.receivedAt = time_point(clock);
        coordinator.onReport(status);
    }
    coordinator.advance(time_point(clock), true);
    const auto orders = coordinator.takeOrders();
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders.front().action, map_order::kind::Hold);
    EXPECT_LT(orders.front().step.value(), 100U);
}

}
