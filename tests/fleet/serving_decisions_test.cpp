#include "serving/event_splitter.h"
#include "serving/failover_action.h"
#include "serving/list_reconciliation.h"
#include "serving/recent_maximum.h"
#include "serving/retry_budget_share.h"
#include "serving/route_index.h"
#include "serving/runner_listing.h"
#include "serving/serving_configuration.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace sardinelb::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

time_point at(milliseconds time)
{
    return time_point(time);
}

listed_runner runnerAt(const std::string& id, const std::string& address, std::uint64_t startedAtMs)
{
    listed_runner runner;
    runner.id = runner_id(id);
    runner.pool = pool_id("p");
    runner.address = address;
    runner.startedAtMs = startedAtMs;
    return runner;
}

}

class failover_decision : public testing::Test {
protected:
    failover_context contextOf(retry_semantics retrySemantics, attempt_failure failure, bool mayHaveRun)
    {
        failover_context result;
        result.retrySemantics = retrySemantics;
        result.failure = failure;
        result.mayHaveRun = mayHaveRun;
        result.attemptsSent = mayHaveRun ? 1 : 0;
        result.maxAttempts = 2;
        result.retryAllowed = true;
        result.timeLeft = seconds(1);
        return result;
    }
};

// Guards against a second run of a request that may run only once, and against reporting it as not run, for every kind of
// attempt failure.
TEST_F(failover_decision, requestThatRunsOnce_mayHaveRun_neverSentAgainNorCalledNotRun)
{
    for (const auto failure : { attempt_failure::NotConnected, attempt_failure::Rejected, attempt_failure::OutcomeUnknown, attempt_failure::ServerError, attempt_failure::WrongRunner }) {
        for (const auto retrySemantics : { retry_semantics::AtMostOnce, retry_semantics::SingleStream }) {
            const failover_action next = chooseFailoverAction(contextOf(retrySemantics, failure, true));
            EXPECT_NE(next, failover_action::TryAnother);
            EXPECT_NE(next, failover_action::RefuseNotRun);
        }
    }
}

TEST_F(failover_decision, requestThatRunsOnce_surelyNotRun_sentToAnotherRunner)
{
    EXPECT_EQ(chooseFailoverAction(contextOf(retry_semantics::AtMostOnce, attempt_failure::Rejected, false)), failover_action::TryAnother);
    EXPECT_EQ(chooseFailoverAction(contextOf(retry_semantics::AtMostOnce, attempt_failure::NotConnected, false)), failover_action::TryAnother);
}

TEST_F(failover_decision, idempotentRequest_retryBudgetUsedUp_failsAsUnknown)
{
    auto given = contextOf(retry_semantics::Idempotent, attempt_failure::OutcomeUnknown, true);
    given.retryAllowed = false;
    EXPECT_EQ(chooseFailoverAction(given), failover_action::FailUnknown);
}

TEST_F(failover_decision, stream_attemptsUsedUpAfterBeginning_aborted)
{
    auto given = contextOf(retry_semantics::ResumableStream, attempt_failure::OutcomeUnknown, true);
    given.answerStarted = true;
    EXPECT_EQ(chooseFailoverAction(given), failover_action::TryAnother);
    given.attemptsSent = 2;
    EXPECT_EQ(chooseFailoverAction(given), failover_action::AbortStream);
}

class retry_budget_window : public testing::Test { };

// Guards against entries that together exceed the platform's retry budget in any window, when all runners fail and entries
// restart in turn.
TEST_F(retry_budget_window, fourEntries_allRunnersFail_sumStaysWithinBudget)
{
    const retry_budget_share::settings settings { 0.2, 88, seconds(10) };
    std::vector<retry_budget_share> entries(4, retry_budget_share(settings, at(seconds(0))));
    std::vector<milliseconds> retries;
    std::vector<milliseconds> requests;
    for (milliseconds now { 0 }; now < seconds(40); now += milliseconds(10)) {
        // Entries are replaced in turn and do not know what their predecessors spent.
        if (now.count() % 3000 == 0)
            entries[static_cast<std::size_t>(now.count() / 3000) % entries.size()] = retry_budget_share(settings, at(now));
        for (std::size_t i = 0; i < entries.size(); ++i) {
            entries[i].onRequest(at(now));
            requests.push_back(now);
            if (entries[i].canRetry(entries.size(), at(now))) {
                entries[i].reserveRetry();
                entries[i].onRetrySent(at(now));
                retries.push_back(now);
            }
        }
        const auto inWindow = [&](const std::vector<milliseconds>& times) {
            return static_cast<double>(std::count_if(times.begin(), times.end(), [&](milliseconds time) { return time > now - seconds(10); }));
        };
        ASSERT_LE(inWindow(retries), settings.ratio * inWindow(requests) + settings.slack);
    }
}

// Guards against entries that each take over the share of those that have just stopped: all of them spent it.
TEST_F(retry_budget_window, fourEntriesStopInTurn_allRunnersFail_sumStaysWithinBudget)
{
    const retry_budget_share::settings settings { 0.2, 88, seconds(10) };
    constexpr std::size_t entryCount = 4;
    std::vector<retry_budget_share> entries(entryCount, retry_budget_share(settings, at(seconds(-60))));
    std::vector<recent_maximum> counts(entryCount, recent_maximum(settings.window + seconds(1)));
    std::size_t retries = 0;
    std::size_t requests = 0;
    for (milliseconds now { 0 }; now < seconds(10); now += milliseconds(10)) {
        // One after the other stops in the first seconds.
        const std::size_t alive = entryCount - std::min<std::size_t>(static_cast<std::size_t>(now / seconds(1)), entryCount - 1);
        for (std::size_t i = 0; i < alive; ++i) {
            if (now.count() % 500 == 0)
                counts[i].add(alive, at(now));
            entries[i].onRequest(at(now));
            ++requests;
            while (entries[i].canRetry(counts[i].value(), at(now))) {
                entries[i].reserveRetry();
                entries[i].onRetrySent(at(now));
                ++retries;
            }
        }
    }
    EXPECT_LE(static_cast<double>(retries), settings.ratio * static_cast<double>(requests) + settings.slack);
}

// Guards against counting retries when they are decided on: those that wait for a runner are sent together with later ones.
TEST_F(retry_budget_window, oneEntry_retriesWaitForARunner_sentOnesStayWithinBudget)
{
    const retry_budget_share::settings settings { 0.2, 88, seconds(10) };
    retry_budget_share entry(settings, at(seconds(-60)));
    std::vector<milliseconds> sent;
    std::vector<milliseconds> requests;
    std::size_t waiting = 0;
    for (milliseconds now { 0 }; now < seconds(40); now += milliseconds(10)) {
        entry.onRequest(at(now));
        requests.push_back(now);
        while (entry.canRetry(1, at(now))) {
            entry.reserveRetry();
            ++waiting;
        }
        // Runners are busy for all but 2.1 s of each 20 s.
        const milliseconds phase = now % seconds(20);
        for (const bool isFree = phase >= milliseconds(9900) && phase < seconds(12); isFree && waiting > 0; --waiting) {
            entry.onRetrySent(at(now));
            sent.push_back(now);
        }
        const auto inWindow = [&](const std::vector<milliseconds>& times) {
            return static_cast<double>(std::count_if(times.begin(), times.end(), [&](milliseconds time) { return time > now - seconds(10); }));
        };
        ASSERT_LE(inWindow(sent), settings.ratio * inWindow(requests) + settings.slack) << now.count();
    }
    EXPECT_GT(sent.size(), 500U);
}

TEST_F(retry_budget_window, retryGivenUp_budgetIsFreeAgain)
{
    retry_budget_share entry({ 0, 2, seconds(10) }, at(seconds(-60)));
    ASSERT_TRUE(entry.canRetry(1, at(seconds(0))));
    entry.reserveRetry();
    EXPECT_FALSE(entry.canRetry(1, at(seconds(30))));
    entry.onRetryGivenUp();
    EXPECT_TRUE(entry.canRetry(1, at(seconds(30))));
}

class recent_maximum_of_window : public testing::Test { };

TEST_F(recent_maximum_of_window, valueFalls_maximum_fallsAfterTheWindow)
{
    recent_maximum maximum(seconds(10));
    EXPECT_EQ(maximum.value(), 0U);
    maximum.add(4, at(seconds(0)));
    maximum.add(2, at(seconds(1)));
    maximum.add(3, at(seconds(2)));
    EXPECT_EQ(maximum.value(), 4U);
    maximum.add(1, at(seconds(11)));
    EXPECT_EQ(maximum.value(), 3U);
    maximum.add(1, at(seconds(20)));
    EXPECT_EQ(maximum.value(), 1U);
    maximum.add(5, at(seconds(21)));
    EXPECT_EQ(maximum.value(), 5U);
}

class event_split : public testing::Test { };

// Guards against events that are split or returned twice, wherever the received data is divided.
TEST_F(event_split, stream_cutAtEveryByte_wholeEventsOnlyAndTheLastId)
{
    const std::string stream = "weight-versions: 3\nid: 7\ndata: a\n\nid: 8\r\ndata: b\r\n\r\nid: 9\ndata: c";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        event_splitter splitter;
        splitter.add(std::string_view(stream).substr(0, cut));
        std::string taken = splitter.takeEvents();
        splitter.add(std::string_view(stream).substr(cut));
        taken += splitter.takeEvents();
        EXPECT_EQ(taken, stream.substr(0, stream.find("id: 9")));
        EXPECT_EQ(splitter.lastEventId(), "8");
        EXPECT_EQ(splitter.eventCount(), 2U);
        EXPECT_TRUE(splitter.hasPartialEvent());
    }
}

class route_lookup : public testing::Test { };

TEST_F(route_lookup, host_severalPrefixes_longestWins)
{
    auto configuration = std::make_shared<serving_configuration>();
    for (const char* prefix : { "/a/", "/a/b/", "/" }) {
        traffic_route route;
        route.host = "H.example";
        route.pathPrefix = prefix;
        configuration->routes.push_back(route);
    }
    const route_index index(configuration);
    EXPECT_EQ(index.find("h.example:80", "/a/b/c")->pathPrefix, "/a/b/");
    EXPECT_EQ(index.find("h.example", "/a/bc")->pathPrefix, "/a/");
    EXPECT_EQ(index.find("h.example", "/x?y=/a/b/")->pathPrefix, "/");
    EXPECT_EQ(index.find("other", "/a/"), nullptr);
}

class runner_list : public testing::Test {
protected:
    static store_revision revision(std::uint64_t value, std::uint64_t epoch = 0)
    {
        return { store_epoch(epoch), row_revision(value) };
    }

    static listed_runner reported(const std::string& id, const std::string& address, std::uint64_t number, bool isDraining)
    {
        listed_runner runner = runnerAt(id, address, 1);
        runner.reportNumber = number;
        runner.isDraining = isDraining;
        return runner;
    }
};

// Guards against losing all runners when their entries expire while the store is unreachable and cannot be renewed.
TEST_F(runner_list, entries_expiredDuringStoreOutage_keptUntilReregistration)
{
    runner_listing listing;
    listing.apply({ { runner_id("r1"), runnerAt("r1", "a:1", 1) }, { runner_id("r2"), runnerAt("r2", "a:2", 1) } }, true, at(seconds(1)));
    listing.onStoreReachabilityChanged(false, at(seconds(2)));
    listing.onStoreReachabilityChanged(true, at(seconds(8)));
    listing.apply({}, true, at(seconds(8)));
    EXPECT_EQ(listing.runners(at(seconds(9))).size(), 2U);
    listing.apply({ { runner_id("r1"), runnerAt("r1", "a:1", 1) } }, false, at(seconds(9)));
    const auto left = listing.runners(at(milliseconds(10200)));
    ASSERT_EQ(left.size(), 1U);
    EXPECT_EQ(left.front().id, runner_id("r1"));
}

TEST_F(runner_list, entry_removedWhileStoreIsReachable_removedAtOnce)
{
    runner_listing listing;
    listing.apply({ { runner_id("r1"), runnerAt("r1", "a:1", 1) } }, true, at(seconds(1)));
    listing.apply({ { runner_id("r1"), std::nullopt } }, false, at(seconds(2)));
    EXPECT_TRUE(listing.runners(at(seconds(2))).empty());
}

// Guards against requests addressed to a crashed process while its entry still exists: the new process at the same address
// rejects them with 421.
// Guards against an entry that removes all runners after an outage of the store, because an equal list of a peer, in which they
// had registered again, was taken as a confirmation of its own.
TEST_F(runner_list, runnersKeptWithoutEntries_peerHasTheSameList_readFromPeer)
{
    EXPECT_EQ(reconcile({ revision(7), 99, true }, { revision(9), 99 }), list_action::ReadFromPeer);
    EXPECT_EQ(reconcile({ revision(7), 99, false }, { revision(9), 99 }), list_action::Confirm);
}

// Guards against an entry that keeps a wrong list for ever, since nothing changes in the store that would make it read again.
TEST_F(runner_list, listDiffersAtTheSameRevision_readFromStore)
{
    EXPECT_EQ(reconcile({ revision(9), 1 }, { revision(9), 99 }), list_action::ReadFromStore);
    EXPECT_EQ(reconcile({ revision(9), 99, true }, { revision(9), 99 }), list_action::None);
    EXPECT_EQ(reconcile({ revision(9), 1 }, { revision(8), 99 }), list_action::None);
}

// Guards against requests to a runner that drains or is gone, whose older entry a restore of the store has brought back.
TEST_F(runner_list, storeRestored_drainingAndRemovedRunners_notBroughtBack)
{
    runner_listing listing;
    listing.apply({ { runner_id("r1"), reported("r1", "a:1", 4, false) }, { runner_id("r2"), reported("r2", "a:2", 4, false) } }, true, at(seconds(1)));
    listing.apply({ { runner_id("r1"), reported("r1", "a:1", 6, true) }, { runner_id("r2"), std::nullopt } }, false, at(seconds(2)));
    const auto ignored = listing.apply({ { runner_id("r1"), reported("r1", "a:1", 4, false) }, { runner_id("r2"), reported("r2", "a:2", 4, false) } }, true, at(seconds(3)), store_epoch(1));
    EXPECT_EQ(ignored.size(), 2U);
    const auto again = listing.apply({ { runner_id("r1"), reported("r1", "a:1", 6, true) } }, true, at(seconds(3)), store_epoch(2));
    EXPECT_TRUE(again.empty());
    const auto runners = listing.runners(at(seconds(3)));
    ASSERT_EQ(runners.size(), 1U);
    EXPECT_TRUE(runners.front().isDraining);
}

// Guards against ignoring a runner that reports again after a restore, whether a change or a snapshot shows it.
TEST_F(runner_list, storeRestored_runnersReportAgain_listed)
{
    runner_listing listing;
    listing.apply({ { runner_id("r1"), reported("r1", "a:1", 4, false) }, { runner_id("r2"), reported("r2", "a:2", 4, false) } }, true, at(seconds(1)));
    listing.apply({ { runner_id("r1"), std::nullopt }, { runner_id("r2"), std::nullopt } }, false, at(seconds(2)));
    listing.apply({ { runner_id("r1"), reported("r1", "a:1", 7, false) } }, true, at(seconds(3)), store_epoch(1));
    EXPECT_EQ(listing.runners(at(seconds(3))).size(), 1U);
    listing.apply({ { runner_id("r2"), reported("r2", "a:2", 1, false) } }, false, at(seconds(4)), store_epoch(1));
    EXPECT_EQ(listing.runners(at(seconds(4))).size(), 2U);
}

// Guards against losing runners that registered after the copy was made, before they have had time to register again.
TEST_F(runner_list, storeRestored_runnerMissingFromCopy_keptUntilReregistration)
{
    runner_listing listing;
    listing.apply({ { runner_id("r1"), reported("r1", "a:1", 4, false) }, { runner_id("r2"), reported("r2", "a:2", 4, true) } }, true, at(seconds(1)));
    listing.apply({}, true, at(seconds(3)), store_epoch(1));
    ASSERT_EQ(listing.runners(at(seconds(4))).size(), 1U);
    EXPECT_FALSE(listing.runners(at(seconds(4))).front().isDraining);
    EXPECT_TRUE(listing.runners(at(milliseconds(5200))).empty());
}

// Guards against an entry that takes the rows before a restore of the store for newer than those after it.
TEST_F(runner_list, storeRestored_lowerRevisionOfTheNewEpoch_readFromPeer)
{
    EXPECT_EQ(reconcile({ revision(9), 1 }, { revision(5, 1), 99 }), list_action::ReadFromPeer);
    EXPECT_EQ(reconcile({ revision(9), 99 }, { revision(9, 1), 99 }), list_action::ReadFromPeer);
    EXPECT_EQ(reconcile({ revision(5, 1), 1 }, { revision(9), 99 }), list_action::None);
}

// Guards against each entry asking the store in quiet times, in which the revision stays the same.
TEST_F(runner_list, peerConfirmsTheSameRevision_confirmed)
{
    EXPECT_EQ(reconcile({ revision(9), 99 }, { revision(9), 99 }), list_action::Confirm);
}

TEST_F(runner_list, address_listedForOldAndNewProcess_newOneIsUsed)
{
    runner_listing listing;
    listing.apply({ { runner_id("old"), runnerAt("old", "a:1", 100) }, { runner_id("new"), runnerAt("new", "a:1", 200) } }, true, at(seconds(1)));
    const auto runners = listing.runners(at(seconds(1)));
    ASSERT_EQ(runners.size(), 1U);
    EXPECT_EQ(runners.front().id, runner_id("new"));
}

}
