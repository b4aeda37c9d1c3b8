#include "serving/admission_queue.h"
#include "serving/backlog.h"
#include "serving/retry_delay.h"
#include "serving/runner_directory.h"

#include <gtest/gtest.h>

#include <map>
#include <random>

namespace sardinelb::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

time_point at(milliseconds time)
{
    return time_point(time);
}

waiting_request requestArrivedAt(std::uint64_t ticket, milliseconds arrived, std::int32_t priority = 1)
{
    waiting_request request;
    request.ticket = ticket;
    request.priority = priority;
    request.arrivedAt = at(arrived);
    request.latestTimelyStart = at(arrived + milliseconds(300));
    request.latestStart = at(arrived + milliseconds(1500));
    return request;
}

}

class admission_order : public testing::Test { };

// Guards against serving requests in order of arrival under overload, which makes every response late: for five seconds,
// demand is twice the capacity of the runners.
TEST_F(admission_order, burst_twiceTheCapacity_mostSlotsGoToRequestsOnTime)
{
    admission_queue queue;
    std::uint64_t ticket = 0;
    int onTime = 0;
    int dispatched = 0;
    for (milliseconds now { 0 }; now < seconds(5); now += milliseconds(10)) {
        queue.onArrival(at(now));
        queue.add(requestArrivedAt(++ticket, now));
        queue.takeExpired(at(now));
        if (now.count() % 20 != 0)
            continue;
        const auto next = queue.takeNext(at(now));
        ASSERT_TRUE(next);
        queue.onDispatch(at(now));
        ++dispatched;
        onTime += at(now) <= next->latestTimelyStart ? 1 : 0;
    }
    EXPECT_GE(onTime, dispatched * 9 / 10);
}

// Guards against telling callers to return soon, to be rejected again, while new requests take all slots.
TEST_F(admission_order, demandAboveCapacity_retryDelay_isLongerThanTheQueue)
{
    admission_queue queue;
    for (milliseconds now { 0 }; now < seconds(3); now += milliseconds(10))
        queue.onArrival(at(now));
    EXPECT_GE(queue.expectedWait(90, at(milliseconds(2990))), milliseconds(200));
    EXPECT_LE(queue.expectedWait(200, at(milliseconds(2990))), milliseconds(100));
}

// Guards against a limit that keeps late callers waiting although the runners could serve all of them within seconds, as after
// a loss of all machines.
TEST_F(admission_order, backlogAfterALoss_demandBelowCapacity_isClearedInAllSlots)
{
    EXPECT_TRUE(isBacklogClearable(20, 18, 32));
    EXPECT_FALSE(isBacklogClearable(2, 18, 32));
}

// Guards against making every stream late to clear a backlog that demand keeps up.
TEST_F(admission_order, demandNearCapacity_backlog_limitStays)
{
    EXPECT_FALSE(isBacklogClearable(20, 21, 19));
    EXPECT_FALSE(isBacklogClearable(20, 17, 20));
}

// Guards against a kind of request that is never served while others of higher priority take all slots.
TEST_F(admission_order, higherPriorityTakesAllSlots_lowerPriority_getsSome)
{
    admission_queue queue;
    std::uint64_t ticket = 0;
    int lower = 0;
    for (milliseconds now { 0 }; now < seconds(5); now += milliseconds(10)) {
        queue.add(requestArrivedAt(++ticket, now, now.count() % 50 == 0 ? 2 : 1));
        queue.takeExpired(at(now));
        if (now.count() % 20 != 0)
            continue;
        const auto next = queue.takeNext(at(now));
        ASSERT_TRUE(next);
        lower += next->priority == 2 ? 1 : 0;
    }
    // 100 of 500 requests are of the lower priority, and half of all requests get a slot.
    EXPECT_GE(lower, 25);
    EXPECT_LE(lower, 50);
}

TEST_F(admission_order, priorities_bothWaiting_higherGoesFirst)
{
    admission_queue queue;
    queue.add(requestArrivedAt(1, milliseconds(0), 2));
    queue.add(requestArrivedAt(2, milliseconds(10), 1));
    EXPECT_EQ(queue.takeNext(at(milliseconds(20)))->ticket, 2U);
}

// Guards against rejecting a caller a second time that retried when it was told to.
TEST_F(admission_order, lateRequests_oneIsCallerRetry_servedFirst)
{
    admission_queue queue;
    queue.add(requestArrivedAt(1, milliseconds(0)));
    auto callerRetry = requestArrivedAt(2, milliseconds(10));
    callerRetry.isCallerRetry = true;
    queue.add(callerRetry);
    queue.add(requestArrivedAt(3, milliseconds(20)));
    EXPECT_EQ(queue.takeNext(at(milliseconds(900)))->ticket, 2U);
}

// Guards against queueing a request until its caller's timeout although it cannot be served by then.
TEST_F(admission_order, queue_longerThanTimeoutAllows_newRequestRejectedAtOnce)
{
    admission_queue queue;
    for (std::uint64_t i = 1; i <= 30; ++i)
        queue.add(requestArrivedAt(i, milliseconds(0)));
    EXPECT_FALSE(queue.canServeInTime(requestArrivedAt(99, milliseconds(0)), 10, at(milliseconds(0))));
    EXPECT_TRUE(queue.canServeInTime(requestArrivedAt(99, milliseconds(0)), 100, at(milliseconds(0))));
    EXPECT_GE(queue.expectedWait(10, at(milliseconds(0))), milliseconds(2000));
}

// Guards against rejecting all requests after a power loss of all machines, when no request has been dispatched for a while
// and the measured rate is therefore 0.
TEST_F(admission_order, queue_noDispatchYet_capacityDecides)
{
    const admission_queue queue;
    EXPECT_TRUE(queue.canServeInTime(requestArrivedAt(1, milliseconds(0)), 60, at(milliseconds(0))));
}

class caller_retry_delay : public testing::Test { };

// Guards against rejecting callers twice at entries that restarted after a power loss while the store is down. The retry
// delay must be long enough for the outage to end, and must be spread.
TEST_F(caller_retry_delay, storeDownAtStart_retryDelayIsSecondsAndSpread)
{
    EXPECT_LE(retryDelayWithoutConfiguration(milliseconds(20), 0.5), milliseconds(500));
    const duration first = retryDelayWithoutConfiguration(seconds(1), 0);
    const duration last = retryDelayWithoutConfiguration(seconds(1), 0.999);
    EXPECT_GE(first, seconds(2));
    EXPECT_GE(last - first, milliseconds(500));
    // Callers of streams wait at most a third of their timeout of eight seconds.
    EXPECT_LE(last, milliseconds(2667));
}

class runner_choice_under_load : public testing::Test {
protected:
    runner_choice_under_load()
        : m_random(1)
    {
    }

    runner_directory directoryOf(std::size_t runners, std::uint32_t slots)
    {
        runner_directory directory([this] { return std::uniform_real_distribution<double>()(m_random); });
        std::vector<listed_runner> listings;
        for (std::size_t i = 0; i < runners; ++i) {
            listed_runner runner;
            runner.id = runner_id("r" + std::to_string(i));
            runner.pool = m_pool;
            runner.address = "10.0.0." + std::to_string(i) + ":80";
            runner.slots = 6;
            listings.push_back(runner);
        }
        directory.setEngine(m_pool, slots > 0 ? std::optional(engineWith(slots)) : std::nullopt);
        directory.setRunners(listings, at(milliseconds(-5000)));
        return directory;
    }

    listed_runner runnerStartedAt(std::uint64_t unixMs) const
    {
        listed_runner runner;
        runner.id = runner_id("r0");
        runner.pool = m_pool;
        runner.address = "10.0.0.1:80";
        runner.startedAtMs = unixMs;
        return runner;
    }

    static engine_profile engineWith(std::uint32_t slots)
    {
        engine_profile engine;
        engine.slots = slots;
        engine.stepMs = 4.55;
        engine.stepMsPerRequest = 0.905;
        return engine;
    }

    rank_load load(std::size_t runner, std::uint32_t running, double pace = 1)
    {
        rank_load result;
        result.runner = runner_id("r" + std::to_string(runner));
        result.group = group_id("g" + std::to_string(runner / 8));
        result.rank = rank_id(static_cast<std::uint32_t>(runner % 8));
        result.running = running;
        result.pace = pace;
        return result;
    }

    std::mt19937 m_random;
    pool_id m_pool { "p" };
};

// Guards against all entries sending to the one runner that had the lowest load in the last report.
TEST_F(runner_choice_under_load, fifteenEntries_sameReports_noRunnerGetsMoreThanAQuarter)
{
    std::map<runner_id, int> chosen;
    for (int entry = 0; entry < 15; ++entry) {
        runner_directory directory = directoryOf(64, 10);
        directory.setEntryCount(15);
        for (std::size_t i = 0; i < 64; ++i)
            directory.onLoadReport(load(i, i == 5 ? 3 : 5), at(milliseconds(0)));
        ++chosen[*directory.choose(m_pool, {}, at(milliseconds(1)))];
    }
    for (const auto& [runner, count] : chosen)
        EXPECT_LE(count, 4) << runner.value();
}

TEST_F(runner_choice_under_load, slowRank_sameLoad_getsFewerRequests)
{
    runner_directory directory = directoryOf(8, 12);
    for (std::size_t i = 0; i < 8; ++i)
        directory.onLoadReport(load(i, 4, i == 3 ? 5.0 : 1.0), at(milliseconds(0)));
    for (int i = 0; i < 20; ++i) {
        const runner_id chosen = *directory.choose(m_pool, {}, at(milliseconds(1)));
        EXPECT_NE(chosen, runner_id("r3"));
        directory.onAttemptStarted(chosen, at(milliseconds(1)));
    }
}

// Guards against admitting more requests to a group whose passes already exceed the event gap objective of its streams.
TEST_F(runner_choice_under_load, groupWithLateGaps_limitFallsAndRecovers)
{
    runner_directory directory = directoryOf(8, 12);
    const auto reportPasses = [&](std::uint32_t running, milliseconds gap, milliseconds from, milliseconds until) {
        for (milliseconds now = from; now < until; now += milliseconds(10)) {
            for (std::size_t i = 0; i < 8; ++i)
                directory.onLoadReport(load(i, running), at(now));
            directory.onEventGap(runner_id("r1"), gap, milliseconds(120), at(now));
        }
    };
    reportPasses(12, milliseconds(200), milliseconds(0), seconds(2));
    EXPECT_LT(directory.groups().front().limitPerRank, 8);
    reportPasses(6, milliseconds(60), seconds(2), seconds(8));
    EXPECT_EQ(directory.groups().front().limitPerRank, 12);
}

// Guards against a limit that takes seconds to adapt to an expert map that fits the demand badly; demand shifts every
// 3 to 4 s.
TEST_F(runner_choice_under_load, passesTwiceAsLong_halfASecondLater_limitKeepsPassesWithinObjective)
{
    runner_directory directory = directoryOf(8, 12);
    const auto stepMs = [](double running) { return 4.55 + 0.905 * running; };
    for (milliseconds now { 0 }; now < milliseconds(500); now += milliseconds(10)) {
        for (std::size_t i = 0; i < 8; ++i)
            directory.onLoadReport(load(i, 10), at(now));
        // A pass has four steps, and the busiest rank takes 2.3 times as long as the mean.
        const auto pass = milliseconds(static_cast<std::int64_t>(4 * 2.3 * stepMs(10)));
        directory.onEventGap(runner_id("r1"), pass, milliseconds(120), at(now));
    }
    const double limit = directory.groups().front().limitPerRank;
    EXPECT_LE(4 * 2.3 * stepMs(limit), 120);
    EXPECT_GE(limit, 6);
}

// Guards against a partially failing runner that keeps its share of the requests because it fails quickly and so looks
// lightly loaded.
TEST_F(runner_choice_under_load, runnerThatFailsHalf_othersHealthy_getsFewRequests)
{
    runner_directory directory = directoryOf(3, 0);
    int requestsToFailing = 0;
    const runner_id failing("r0");
    for (int i = 0; i < 300; ++i) {
        const time_point now = at(milliseconds(i * 20));
        const runner_id chosen = *directory.choose(m_pool, {}, now);
        directory.onAttemptStarted(chosen, now);
        if (chosen == failing && ++requestsToFailing % 2 == 0)
            directory.onAttemptFailed(chosen, attempt_failure::ServerError, now);
        else
            directory.onAttemptSucceeded(chosen, milliseconds(20));
    }
    EXPECT_LT(requestsToFailing, 60);
}

// Guards against treating a group that lost a rank as idle.
TEST_F(runner_choice_under_load, brokenGroup_otherGroupOpen_getsNoRequests)
{
    runner_directory directory = directoryOf(16, 12);
    for (std::size_t i = 0; i < 16; ++i) {
        rank_load report = load(i, i < 8 ? 0 : 6);
        report.isGroupOpen = i >= 8;
        directory.onLoadReport(report, at(milliseconds(0)));
    }
    for (int i = 0; i < 20; ++i) {
        const runner_id chosen = *directory.choose(m_pool, {}, at(milliseconds(1)));
        EXPECT_GE(std::stoi(chosen.value().substr(1)), 8);
    }
}

// Guards against a backoff that keeps runners unused for seconds after their group has opened again.
TEST_F(runner_choice_under_load, groupOpensAfterRefusals_nextReport_getsRequestsAtOnce)
{
    runner_directory directory = directoryOf(1, 12);
    rank_load report = load(0, 0);
    report.isGroupOpen = false;
    directory.onLoadReport(report, at(milliseconds(0)));
    for (int i = 0; i < 6; ++i) {
        directory.onAttemptStarted(runner_id("r0"), at(milliseconds(i)));
        directory.onAttemptFailed(runner_id("r0"), attempt_failure::NotConnected, at(milliseconds(i)));
    }
    EXPECT_FALSE(directory.choose(m_pool, {}, at(milliseconds(100))));
    report.isGroupOpen = true;
    directory.onLoadReport(report, at(milliseconds(200)));
    EXPECT_TRUE(directory.choose(m_pool, {}, at(milliseconds(201))));
}

// Guards against requests addressed to the process in the list while the runner's agent already reports a newer process.
TEST_F(runner_choice_under_load, agentReportsNewerProcess_listStillNamesTheOld_getsNoRequests)
{
    runner_directory directory = directoryOf(0, 12);
    directory.setRunners({ runnerStartedAt(1000) }, at(milliseconds(0)));
    rank_load report = load(0, 0);
    report.startedAtMs = 2000;
    directory.onLoadReport(report, at(milliseconds(0)));
    EXPECT_FALSE(directory.choose(m_pool, {}, at(milliseconds(1))));
}

// Guards against requests that are rejected by one runner after the other when all machines restart after a power loss: the
// list still names the old processes, and the groups of the new ones are forming.
TEST_F(runner_choice_under_load, entryStarts_noReportYet_runnerIsUsedOnceItsGroupIsOpen)
{
    runner_directory directory = directoryOf(0, 12);
    directory.setRunners({ runnerStartedAt(0) }, at(milliseconds(1000)));
    EXPECT_FALSE(directory.choose(m_pool, {}, at(milliseconds(1050))));
    EXPECT_GT(directory.freedSlotsPerSecond(m_pool), 0);
    rank_load report = load(0, 0);
    report.isGroupOpen = false;
    directory.onLoadReport(report, at(milliseconds(1100)));
    EXPECT_FALSE(directory.choose(m_pool, {}, at(milliseconds(1900))));
    report.isGroupOpen = true;
    directory.onLoadReport(report, at(milliseconds(2000)));
    EXPECT_TRUE(directory.choose(m_pool, {}, at(milliseconds(2001))));
}

// Guards against never sending requests to a runner that has no agent or whose agent is down.
TEST_F(runner_choice_under_load, agentIsDown_oneSecondAfterListing_runnerIsUsed)
{
    runner_directory directory = directoryOf(0, 12);
    directory.setRunners({ runnerStartedAt(0) }, at(milliseconds(1000)));
    directory.setRunners({ runnerStartedAt(0) }, at(milliseconds(1700)));
    EXPECT_TRUE(directory.choose(m_pool, {}, at(milliseconds(2000))));
}

// Guards against leaving a runner unused for good because its agent is down while the groups of others are closed.
TEST_F(runner_choice_under_load, agentEndsWhileAnotherGroupIsClosed_runnerIsUsed)
{
    runner_directory directory = directoryOf(2, 12);
    directory.onLoadReport(load(0, 0), at(milliseconds(0)));
    rank_load closed = load(1, 0);
    closed.isGroupOpen = false;
    directory.onLoadReport(closed, at(milliseconds(6000)));
    const auto chosen = directory.choose(m_pool, {}, at(milliseconds(6001)));
    ASSERT_TRUE(chosen);
    EXPECT_EQ(*chosen, load(0, 0).runner);
}

TEST_F(runner_choice_under_load, allRunnersFull_noFreeSlot)
{
    runner_directory directory = directoryOf(8, 12);
    for (std::size_t i = 0; i < 8; ++i)
        directory.onLoadReport(load(i, 12), at(milliseconds(0)));
    EXPECT_FALSE(directory.choose(m_pool, {}, at(milliseconds(1))));
    EXPECT_EQ(directory.freeSlots(m_pool, at(milliseconds(1))), 0U);
    EXPECT_GT(directory.freedSlotsPerSecond(m_pool), 0);
}

}
