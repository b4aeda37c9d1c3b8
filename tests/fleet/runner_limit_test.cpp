#include "serving/runner_directory.h"
#include "serving/runner_followers.h"
#include "serving/runner_limit.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

namespace sardinelb::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// What a runner that names a limit gets at most in any window, as a multiple of the limit and as a number of requests beside it.
constexpr duration limitWindow = seconds(4);
constexpr double limitTolerance = 1.5;
constexpr double limitSlack = 5;

const runner_process_id process(7);

runner_limit_update updateOf(std::optional<double> limit, duration age)
{
    return { process, limit, age };
}

}

class runner_limit_share : public testing::Test {
protected:
    // Lets entries send whenever they may, for `time`, and returns the requests that the runner got. Fails on a window with too many.
    static std::size_t sendGreedily(std::size_t entryCount, double requestsPerSecond, duration time)
    {
        std::vector<std::string> addresses;
        for (std::size_t i = 0; i < entryCount; ++i)
            addresses.push_back("10.0.0." + std::to_string(i));
        std::vector<runner_limit> entries(entryCount);
        time_point now { seconds(100) };
        for (std::size_t i = 0; i < entryCount; ++i) {
            entries[i].onAnswer(requestsPerSecond, now);
            entries[i].setPosition(followerPosition("10.1.0.1:80", addresses[i], addresses), entryCount);
        }
        std::deque<time_point> window;
        std::size_t sent = 0;
        for (const time_point end = now + time; now < end; now += milliseconds(5)) {
            for (runner_limit& entry : entries) {
                if (entry.sendable(now) == 0U)
                    continue;
                entry.onSent(now);
                window.push_back(now);
                ++sent;
            }
            while (!window.empty() && now - window.front() >= limitWindow)
                window.pop_front();
            const double allowed = limitTolerance * requestsPerSecond * std::chrono::duration<double>(limitWindow).count() + limitSlack;
            EXPECT_LE(static_cast<double>(window.size()), allowed) << entryCount << " entries, limit " << requestsPerSecond;
        }
        return sent;
    }
};

// Guards against entries that each keep a limit and together exceed it, at any size, and against leaving most of it unused.
TEST_F(runner_limit_share, fleetsAndLimitsOfAnySize_allEntriesTogether_withinLimitAndMostOfItUsed)
{
    constexpr double time = 30;
    for (const std::size_t entries : { 1, 4, 15, 53, 350 }) {
        for (const double limit : { 0.0, 0.3, 1.0, 2.8, 12.0, 75.0 }) {
            const std::size_t sent = sendGreedily(entries, limit, seconds(30));
            EXPECT_GE(static_cast<double>(sent), 0.9 * limit * time - 3) << entries << " entries, limit " << limit;
            // Even a limit of zero is tried now and then, since only an answer can end it.
            EXPECT_GE(sent, 1U);
        }
    }
}

// Guards against a runner that stays unused by entries that cannot see the end of its limit.
TEST_F(runner_limit_share, limitEnds_entryThatSendsNothing_learnsFromUpdate)
{
    time_point now { seconds(100) };
    runner_limit user;
    runner_limit other;
    other.setPosition(9, 10);
    for (runner_limit* entry : { &user, &other })
        entry->onAnswer(1.0, now);
    EXPECT_EQ(other.sendable(now + seconds(60)), 0U);
    now += seconds(60);
    user.onAnswer(std::nullopt, now);
    const auto update = user.update(process, now + milliseconds(400));
    ASSERT_TRUE(update);
    other.onUpdate(*update, now + milliseconds(401));
    EXPECT_FALSE(other.sendable(now + milliseconds(401)));
    EXPECT_FALSE(user.update(process, now + seconds(30)));
}

// Guards against an old update that brings back a limit that has ended, for this entry and for all that receive it.
TEST_F(runner_limit_share, answerWithoutLimit_olderUpdateWithLimit_ignoredAndContradicted)
{
    const time_point now { seconds(100) };
    runner_limit entry;
    entry.onAnswer(std::nullopt, now);
    EXPECT_FALSE(entry.update(process, now));
    entry.onUpdate(updateOf(2.0, seconds(1)), now + milliseconds(500));
    EXPECT_FALSE(entry.sendable(now + milliseconds(500)));
    const auto update = entry.update(process, now + milliseconds(500));
    ASSERT_TRUE(update);
    EXPECT_FALSE(update->requestsPerSecond);
}

// Guards against a limit that an entry received from one that has gone, and that nobody will end.
TEST_F(runner_limit_share, limitOnlyReceived_noFurtherUpdate_forgotten)
{
    const time_point now { seconds(100) };
    runner_limit entry;
    entry.setPosition(3, 4);
    entry.onUpdate(updateOf(1.0, {}), now);
    EXPECT_EQ(entry.sendable(now + seconds(1)), 0U);
    EXPECT_FALSE(entry.sendable(now + seconds(6)));
    EXPECT_FALSE(entry.update(process, now + seconds(1))) << "only the entry that got the answer passes it on";
}

class limited_runner_choice : public testing::Test {
protected:
    static listed_runner runnerOf(const std::string& id, std::uint64_t startedAtMs = 1)
    {
        listed_runner runner;
        runner.id = runner_id(id);
        runner.pool = pool_id("p");
        runner.address = "10.1.0." + id + ":80";
        runner.slots = 4;
        runner.startedAtMs = startedAtMs;
        return runner;
    }

    limited_runner_choice()
    {
        m_directory.setEngine(m_pool, std::nullopt);
        m_directory.setRunners({ runnerOf("1"), runnerOf("2") }, m_now);
        m_directory.setEntries("10.0.0.1", { "10.0.0.1" });
    }

    // Sends and answers as many requests as runners are found for, at most `count`. Returns those that runner 1 got.
    int send(int count)
    {
        int limited = 0;
        for (int i = 0; i < count; ++i) {
            const auto chosen = m_directory.choose(m_pool, {}, m_now);
            if (!chosen)
                break;
            m_directory.onAttemptStarted(*chosen, m_now);
            m_directory.onAttemptSucceeded(*chosen, milliseconds(10));
            limited += *chosen == runner_id("1") ? 1 : 0;
        }
        return limited;
    }

    pool_id m_pool { "p" };
    time_point m_now { seconds(100) };
    runner_directory m_directory { [] { return 0.5; } };
};

// Guards against choosing a runner beyond its limit because it looks less loaded than the others.
TEST_F(limited_runner_choice, oneRunnerLimited_manyRequests_othersGetTheRest)
{
    m_directory.onNamedLimit(runner_id("1"), 2.0, m_now);
    int limited = 0;
    for (int i = 0; i < 1000; ++i) {
        m_now += milliseconds(10);
        limited += send(5);
    }
    EXPECT_LE(limited, 21);
    EXPECT_GE(limited, 15);
}

// Guards against taking requests from the queue for which choose() finds no runner, which would put them back without end.
TEST_F(limited_runner_choice, allRunnersLimited_freeSlots_agreesWithChoose)
{
    for (const char* id : { "1", "2" })
        m_directory.onNamedLimit(runner_id(id), 0.5, m_now);
    for (int i = 0; i < 500; ++i) {
        m_now += milliseconds(20);
        EXPECT_EQ(m_directory.freeSlots(m_pool, m_now) > 0, m_directory.choose(m_pool, {}, m_now).has_value());
        send(1);
    }
}

// Guards against queueing requests for slots that a limit does not let them have.
TEST_F(limited_runner_choice, allRunnersLimited_rateOfFreeSlots_isThatOfTheLimits)
{
    EXPECT_GT(m_directory.freedSlotsPerSecond(m_pool), 1.0);
    for (const char* id : { "1", "2" })
        m_directory.onNamedLimit(runner_id(id), 0.25, m_now);
    EXPECT_DOUBLE_EQ(m_directory.freedSlotsPerSecond(m_pool), 0.5);
}

// Guards against keeping to the limit of a process that has ended.
TEST_F(limited_runner_choice, runnerRestartsUnderItsId_limit_notKept)
{
    m_directory.onNamedLimit(runner_id("1"), 0.1, m_now);
    m_directory.setRunners({ runnerOf("1", 2), runnerOf("2") }, m_now);
    EXPECT_GT(send(20), 5);
    EXPECT_TRUE(m_directory.limitUpdates(m_now).empty());
    EXPECT_FALSE(m_directory.onLimitUpdate({ processOf(runnerOf("1", 1)), 0.1, {} }, m_now));
}

}
