#include "expert_map/demand_accumulator.h"
#include "expert_map/demand_route.h"
#include "expert_map/map_content.h"
#include "expert_map/placement_delta.h"
#include "expert_map/placement_delta_codec.h"
#include "fleet/demand_reporting.h"
#include "fleet/fleet_message.h"
#include "fleet/map_order_dispatcher.h"
#include "fleet/map_order_executor.h"

#include <gtest/gtest.h>

#include <numeric>
#include <random>

namespace sardinelb::test {

using std::chrono::milliseconds;

class scaled_demand : public testing::Test { };

// Guards against a demand estimate that misses experts whose counts are small beside those of the most chosen expert.
TEST_F(scaled_demand, countsThatDoNotFitIntoBytes_manyReports_sumIsKept)
{
    demand_accumulator accumulator;
    std::vector<std::uint32_t> before(100);
    std::vector<std::uint64_t> received(100);
    for (int report = 0; report < 50; ++report) {
        std::vector<std::uint32_t> after = before;
        after[0] += 40000;
        for (std::size_t expert = 1; expert < after.size(); ++expert)
            after[expert] += 30;
        accumulator.addCounters(before, after);
        before = after;
        const scaled_choices message = accumulator.take();
        ASSERT_EQ(message.values.size(), 100U);
        for (std::size_t expert = 0; expert < received.size(); ++expert)
            received[expert] += static_cast<std::uint64_t>(message.values[expert]) * message.scale;
    }
    EXPECT_NEAR(static_cast<double>(received[0]), 50 * 40000.0, 200);
    EXPECT_NEAR(static_cast<double>(received[1]), 50 * 30.0, 200);
}

TEST_F(scaled_demand, nothingChosen_take_noValues)
{
    demand_accumulator accumulator;
    accumulator.addCounters({ 1, 2 }, { 1, 2 });
    EXPECT_TRUE(accumulator.take().values.empty());
}

class demand_gathering : public testing::Test {
protected:
    // Bytes a second that reports of 3 KB take at the coordinator of a group.
    static double bytesPerSecond(std::uint32_t groupSize)
    {
        const demand_route route = chooseDemandRoute(groupSize, reportBytes, budget);
        const std::uint32_t collectors = (groupSize + route.ranksPerCollector - 1) / route.ranksPerCollector;
        return static_cast<double>(collectors) * reportBytes / std::chrono::duration<double>(route.interval).count();
    }

    static constexpr std::size_t reportBytes = 3072;
    static constexpr double budget = 187500;
};

// Guards against a coordinator whose link is filled by the reports of a large group.
TEST_F(demand_gathering, groupsOfAnySize_reports_staySmallerThanTheBudget)
{
    for (const std::uint32_t size : { 2U, 8U, 16U, 32U, 72U, 96U, 128U, 256U, 1000U })
        EXPECT_LE(bytesPerSecond(size), budget * 1.01) << size;
}

TEST_F(demand_gathering, groupOf96_report_reachesTheCoordinatorWithin400ms)
{
    EXPECT_LE(chooseDemandRoute(96, reportBytes, budget).interval * 2, milliseconds(400));
}

TEST_F(demand_gathering, groupOf96_collectors_areSpreadAndLeaveOutTheCoordinators)
{
    const demand_route route = chooseDemandRoute(96, reportBytes, budget);
    std::map<std::uint32_t, int> reports;
    for (std::uint32_t position = 0; position < 96; ++position)
        ++reports[route.collectorOf(position)];
    EXPECT_FALSE(reports.contains(0));
    EXPECT_FALSE(reports.contains(1));
    for (const auto& [collector, count] : reports)
        EXPECT_LE(count, 10);
}

TEST_F(demand_gathering, smallGroup_everyRank_reportsToTheCoordinator)
{
    const demand_route route = chooseDemandRoute(8, 384, 625000);
    EXPECT_EQ(route.ranksPerCollector, 1U);
    EXPECT_EQ(route.collectorOf(5), 5U);
}

TEST_F(demand_gathering, collector_reportsOfItsRanks_areSummedWithItsOwn)
{
    demand_reporting collector;
    const group_id group("g");
    collector.setGroup(group, 3);
    collector.onCounters({ 10, 10 }, 3);
    collector.onCounters({ 14, 10 }, 3);
    collector.onReport({ group, 3, { 2, { 1, 5 } } });
    // From before the group formed anew.
    collector.onReport({ group, 2, { 1, { 100, 100 } } });
    const auto sent = collector.takeReport(time_point(milliseconds(100)));
    ASSERT_TRUE(sent);
    EXPECT_EQ(sent->report.choices.values, (std::vector<std::uint8_t> { 6, 10 }));
    EXPECT_TRUE(sent->collector.empty());
}

TEST_F(demand_gathering, coordinatorGone_routeExpires_reportsBecomeRare)
{
    demand_reporting rank;
    rank.setGroup(group_id("g"), 1);
    rank.setRoute({ group_id("g"), 1, "10.0.0.9:80", milliseconds(150) }, time_point(milliseconds(0)));
    rank.onCounters({ 0 }, 1);
    rank.onCounters({ 5 }, 1);
    EXPECT_EQ(rank.takeReport(time_point(milliseconds(10)))->collector, "10.0.0.9:80");
    rank.onCounters({ 9 }, 1);
    EXPECT_TRUE(rank.takeReport(time_point(milliseconds(4000)))->collector.empty());
    EXPECT_FALSE(rank.isReportDue(time_point(milliseconds(4500))));
}

class placement_difference : public testing::Test { };

TEST_F(placement_difference, fewCopies_appliedToTheOldMap_givesTheNewOne)
{
    const expert_placement before = roundRobinPlacement(16, 192, 96);
    expert_placement after = before;
    after.sets[3][70] = { 1, 70, 166 };
    after.sets[15][0] = {};
    const placement_delta delta = differenceOf(before, after);
    EXPECT_EQ(delta.changes.size(), 2U);
    EXPECT_EQ(applyDelta(before, delta), after);
}

TEST_F(placement_difference, encodedAndDecoded_equal)
{
    const placement_delta delta { { { 0, 5, { 1, 190, 16383 } }, { 0, 6, {} }, { 15, 95, { 0 } } } };
    EXPECT_EQ(decodeDelta(encodeDelta(delta, 96), 96).changes, delta.changes);
    EXPECT_EQ(encodeDelta({ { { 0, 5, { 1, 2, 3 } } } }, 96).size(), 5U);
}

// Guards against reads beyond the end of a corrupted message.
TEST_F(placement_difference, truncatedBytes_decoded_onlyWholeChanges)
{
    const placement_delta delta { { { 0, 5, { 1, 190 } }, { 3, 6, { 200 } } } };
    const std::vector<std::uint8_t> whole = encodeDelta(delta, 96);
    for (std::size_t size = 0; size < whole.size(); ++size)
        EXPECT_LE(decodeDelta(std::span(whole).first(size), 96).changes.size(), 1U);
    EXPECT_TRUE(decodeDelta(whole, 0).changes.empty());
    EXPECT_TRUE(decodeDelta(std::vector<std::uint8_t>(20, 0xff), 96).changes.empty());
}

TEST_F(placement_difference, changeOutsideOfTheMap_applied_nothing)
{
    EXPECT_FALSE(applyDelta(roundRobinPlacement(2, 8, 4), { { { 2, 0, {} } } }));
    EXPECT_FALSE(applyDelta(roundRobinPlacement(2, 8, 4), { { { 0, 4, {} } } }));
}

// Orders of a coordinator beside rank 0 to the agents of a group of 96.
class delegated_orders : public testing::Test {
protected:
    delegated_orders()
        : dispatcher(group_id("g"), rank_id(0), 1, hooks())
    {
    }

    map_order_dispatcher::hooks hooks()
    {
        map_order_dispatcher::hooks result;
        result.sendDirectly = [this](const map_order& order) { direct.push_back(order); };
        result.sendToAgent = [this](const delegated_order_message& message) { sent.push_back(message); };
        result.onResult = [this](const map_order&, map_order_result value) { results.push_back(value); };
        return result;
    }

    static map_order prepareOrder(rank_id rank, std::uint64_t version)
    {
        map_order order { map_order::kind::Prepare, rank, 1, map_version(version), {}, {} };
        auto base = std::make_shared<expert_placement>(roundRobinPlacement(16, 192, 96));
        for (std::uint16_t i = 0; i < 96; ++i)
            base->sets[i % 16][i].push_back(191);
        auto target = std::make_shared<expert_placement>(*base);
        target->sets[0][5].push_back(191);
        order.basePlacement = base;
        order.base = map_version(4);
        order.placement = target;
        return order;
    }

    static time_point at(int ms) { return time_point(milliseconds(ms)); }

    std::vector<map_order> direct;
    std::vector<delegated_order_message> sent;
    std::vector<map_order_result> results;
    map_order_dispatcher dispatcher;
    map_order_executor executor;
};

// Guards against prepare orders that take seconds to leave the coordinator's link of 6 Mbit/s.
TEST_F(delegated_orders, prepareForGroupOf96_allRanks_under100KB)
{
    std::size_t bytes = 0;
    for (std::uint32_t rank = 1; rank < 96; ++rank)
        dispatcher.dispatch(prepareOrder(rank_id(rank), 5), at(0));
    for (const auto& message : sent)
        bytes += encode(message).size();
    EXPECT_EQ(sent.size(), 95U);
    EXPECT_LE(bytes, 100000U);
}

TEST_F(delegated_orders, agentDoesNotKnowTheBase_answered_getsTheWholeMap)
{
    const map_order order = prepareOrder(rank_id(7), 5);
    dispatcher.dispatch(order, at(0));
    ASSERT_EQ(sent.size(), 1U);
    ASSERT_TRUE(sent[0].base);
    EXPECT_FALSE(executor.complete(sent[0]));
    dispatcher.onDelegatedResult({ sent[0].id, delegated_result_message::outcome::BaseUnknown }, at(5));
    ASSERT_EQ(sent.size(), 2U);
    const auto completed = executor.complete(std::get<delegated_order_message>(*decode(encode(sent[1]))));
    ASSERT_TRUE(completed);
    EXPECT_EQ(*completed->placement, *order.placement);
    EXPECT_TRUE(results.empty());
}

TEST_F(delegated_orders, agentKnowsTheBase_nextOrder_completedFromTheDifference)
{
    const map_order first = prepareOrder(rank_id(7), 5);
    dispatcher.dispatch(first, at(0));
    dispatcher.onDelegatedResult({ sent[0].id, delegated_result_message::outcome::BaseUnknown }, at(5));
    executor.onPrepared(*executor.complete(sent[1]), map_version(4));
    auto target = std::make_shared<expert_placement>(*first.placement);
    target->sets[9][33].push_back(190);
    map_order second { map_order::kind::Prepare, rank_id(7), 1, map_version(8), {}, target, first.placement, map_version(5) };
    dispatcher.dispatch(second, at(400));
    ASSERT_EQ(sent[2].base, map_version(5));
    EXPECT_EQ(sent[2].delta.changes.size(), 1U);
    EXPECT_EQ(*executor.complete(sent[2])->placement, *target);
}

// Guards against passes with two contents of one map: an agent applied the difference to another base than that of the coordinator.
TEST_F(delegated_orders, agentKnowsAnotherBase_answered_getsTheWholeMap)
{
    const map_order before = prepareOrder(rank_id(7), 4);
    executor.onPrepared(before, map_version(0));
    map_order order = prepareOrder(rank_id(7), 5);
    auto base = std::make_shared<expert_placement>(*order.basePlacement);
    base->sets[2][3].back() ^= 1;
    auto target = std::make_shared<expert_placement>(*base);
    target->sets[0][5].push_back(191);
    order.basePlacement = base;
    order.placement = target;
    order.version = mapVersion(1, *target);
    dispatcher.dispatch(order, at(0));
    ASSERT_EQ(sent[0].base, map_version(4));
    EXPECT_FALSE(executor.complete(sent[0]));
    dispatcher.onDelegatedResult({ sent[0].id, delegated_result_message::outcome::BaseUnknown }, at(5));
    ASSERT_EQ(sent.size(), 2U);
    EXPECT_FALSE(sent[1].base);
    const auto completed = executor.complete(sent[1]);
    ASSERT_TRUE(completed);
    EXPECT_EQ(*completed->placement, *target);
    // Guards against an exchange without end with an agent that cannot use the whole map either.
    dispatcher.onDelegatedResult({ sent[1].id, delegated_result_message::outcome::BaseUnknown }, at(10));
    EXPECT_EQ(sent.size(), 2U);
    EXPECT_EQ(results, std::vector<map_order_result> { map_order_result::Unanswered });
}

// Guards against an agent that no coordinator of an earlier build can give a map, since the versions of that build have no valid digest.
TEST_F(delegated_orders, wholeMapOfAnEarlierBuild_completed_asOrdered)
{
    map_order order = prepareOrder(rank_id(7), 5);
    order.version = map_version(mapVersion(3, *order.basePlacement).value() + 1);
    order.basePlacement = nullptr;
    dispatcher.dispatch(order, at(0));
    const auto completed = executor.complete(sent[0]);
    ASSERT_TRUE(completed);
    EXPECT_EQ(*completed->placement, *order.placement);
}

// Guards against messages that grow with the check of their content: the digest is a part of the version.
TEST_F(delegated_orders, versionWithDigest_encoded_asLongAsWithout)
{
    for (const std::uint16_t ranks : { 8, 32, 96 }) {
        delegated_order_message message;
        message.order = { map_order::kind::Prepare, rank_id(3), 1, map_version(5), {}, {} };
        message.ranks = ranks;
        const std::size_t without = encode(message).size();
        message.order.version = mapVersion(5, roundRobinPlacement(16, 192, ranks));
        EXPECT_EQ(encode(message).size(), without);
        rank_message report;
        report.status.map = map_version(5);
        const std::size_t reportWithout = encode(report).size();
        report.status.map = message.order.version;
        EXPECT_EQ(encode(report).size(), reportWithout);
    }
}

// Guards against a switch that waits for ever for the agent of a rank whose runner is well.
TEST_F(delegated_orders, agentIsDown_orderRepeated_goesToTheRunner)
{
    const map_order order { map_order::kind::Arm, rank_id(3), 1, map_version(5), step_number(9), {} };
    dispatcher.dispatch(order, at(0));
    dispatcher.advance(at(25));
    EXPECT_TRUE(direct.empty());
    // The order that an agent has not answered also goes to the runner.
    dispatcher.advance(at(50));
    ASSERT_EQ(direct.size(), 1U);
    dispatcher.advance(at(250));
    EXPECT_TRUE(results.empty());
    dispatcher.onDirectResult(order, map_order_result::Unanswered);
    ASSERT_EQ(results, std::vector<map_order_result> { map_order_result::Unanswered });
    dispatcher.dispatch(order, at(251));
    EXPECT_EQ(sent.size(), 2U);
    dispatcher.advance(at(500));
    dispatcher.onDirectResult(order, map_order_result::Unanswered);
    // An agent that missed two orders is passed over.
    dispatcher.dispatch(order, at(501));
    EXPECT_EQ(sent.size(), 2U);
    EXPECT_EQ(direct.size(), 3U);
    // A late answer must not end an order that was given up.
    dispatcher.onDelegatedResult({ sent[0].id, delegated_result_message::outcome::Accepted }, at(510));
    EXPECT_EQ(results.size(), 2U);
}

// Guards against a second result of an order whose agent and runner both answer, and against the wait for a silent agent.
TEST_F(delegated_orders, agentAndRunnerAnswer_silentAgentLater_oneResultEach)
{
    const map_order order { map_order::kind::Arm, rank_id(3), 1, map_version(5), step_number(9), {} };
    dispatcher.dispatch(order, at(0));
    dispatcher.advance(at(50));
    dispatcher.onDelegatedResult({ sent[0].id, delegated_result_message::outcome::Accepted }, at(60));
    dispatcher.onDirectResult(order, map_order_result::Unanswered);
    EXPECT_EQ(results, std::vector<map_order_result> { map_order_result::Accepted });
    dispatcher.setSilentRanks({ rank_id(3) });
    dispatcher.dispatch(prepareOrder(rank_id(3), 8), at(100));
    EXPECT_EQ(sent.size(), 1U);
    EXPECT_EQ(direct.size(), 2U);
}

// Guards against a rollback that never ends: whole maps, sent again to each rank every 120 ms, filled the coordinator's link
// for good, and the group stood still.
TEST_F(delegated_orders, allAgentsSilent_ordersRepeated_fewWholeMapsInFlight)
{
    for (int now = 0; now < 3000; now += 25) {
        dispatcher.advance(at(now));
        if (now % 125 != 0)
            continue;
        for (std::uint32_t rank = 1; rank < 96; ++rank)
            dispatcher.dispatch(prepareOrder(rank_id(rank), 5), at(now));
    }
    EXPECT_EQ(direct.size(), 4U);
    dispatcher.onDirectResult(direct[0], map_order_result::Accepted);
    dispatcher.dispatch(prepareOrder(rank_id(50), 5), at(3000));
    EXPECT_LE(direct.size(), 5U);
}

// Guards against a pass that is released before all ranks are armed: a new coordinator at the address of an earlier one, whose
// orders had the same numbers, took a late answer to one of those for its own.
TEST_F(delegated_orders, coordinatorRestarted_lateAnswerToTheEarlierOne_ignored)
{
    const map_order order { map_order::kind::Arm, rank_id(3), 1, map_version(5), step_number(9), {} };
    dispatcher.dispatch(order, at(0));
    map_order_dispatcher restarted(group_id("g"), rank_id(0), 1000, hooks());
    restarted.dispatch({ map_order::kind::Arm, rank_id(3), 1, map_version(8), step_number(12), {} }, at(10));
    restarted.onDelegatedResult({ sent[0].id, delegated_result_message::outcome::Accepted }, at(20));
    EXPECT_TRUE(results.empty());
}

// Guards against a corrupted message that uses up the memory of an agent.
TEST_F(delegated_orders, messageNamesAHugeMap_completed_nothing)
{
    delegated_order_message message;
    message.order = { map_order::kind::Prepare, rank_id(3), 1, map_version(5), {}, {} };
    message.sets = 65535;
    message.experts = 65535;
    message.ranks = 65535;
    EXPECT_FALSE(executor.complete(message));
}

TEST_F(delegated_orders, orderInFlight_repeated_sentOnce)
{
    const map_order order { map_order::kind::Arm, rank_id(3), 1, map_version(5), step_number(9), {} };
    dispatcher.dispatch(order, at(0));
    dispatcher.dispatch(order, at(120));
    EXPECT_EQ(sent.size(), 1U);
}

TEST_F(delegated_orders, holdsAndOrdersToTheOwnRunner_always_direct)
{
    dispatcher.dispatch({ map_order::kind::Hold, rank_id(0), 1, {}, step_number(9), {} }, at(0));
    dispatcher.dispatch({ map_order::kind::Release, rank_id(2), 1, {}, step_number(9), {} }, at(0));
    dispatcher.dispatch({ map_order::kind::Arm, rank_id(0), 1, map_version(5), step_number(9), {} }, at(0));
    EXPECT_EQ(direct.size(), 3U);
    EXPECT_TRUE(sent.empty());
}

}
