#include "fleet/fleet_message.h"
#include "platform/configuration_row.h"
#include "platform/request_translation.h"
#include "platform/runner_row.h"
#include "relay/http_response_head.h"
#include "serving/recent_entries.h"
#include "serving/runner_directory.h"
#include "serving/runner_response_head.h"
#include "serving/serving_configuration.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>
#include <string>
#include <vector>

namespace sardinelb::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const pool_id coldPool("p");

constexpr warm_up_limit limitOfRunners { seconds(3), 32, 53 };

listed_runner runnerOf(const std::string& id, std::uint64_t startedAtMs)
{
    listed_runner runner;
    runner.id = runner_id(id);
    runner.pool = coldPool;
    runner.address = "10.1.0." + id + ":80";
    runner.zone = availability_zone_id("a");
    runner.slots = 1000;
    runner.startedAtMs = startedAtMs;
    runner.reportNumber = startedAtMs;
    return runner;
}

}

// Entries that send to one runner whenever their view of it allows, each with its own idea of the others.
class warm_up_fleet : public testing::Test {
protected:
    struct entry {
        std::string address;
        runner_directory directory { [] { return 0.5; } };
        recent_entries others;
        bool hearsOthers = true;
    };

    explicit warm_up_fleet()
        : m_random(7)
    {
    }

    void start(std::size_t entryCount)
    {
        m_entries.clear();
        m_sent.clear();
        for (std::size_t i = 0; i < entryCount; ++i)
            m_entries.push_back(startedEntry("10.0.0." + std::to_string(i)));
        heartbeat();
    }

    std::unique_ptr<entry> startedEntry(const std::string& address) const
    {
        auto result = std::make_unique<entry>();
        result->address = address;
        result->directory.setEngine(coldPool, std::nullopt);
        result->directory.setProcessStart(m_now);
        result->directory.setWarmUp(coldPool, limitOfRunners, m_now);
        result->directory.setRunners({ runnerOf("1", m_startedAtMs) }, m_now);
        return result;
    }

    void heartbeat()
    {
        for (const auto& self : m_entries) {
            std::vector<std::string> live { self->address };
            for (const auto& other : m_entries) {
                if (other != self && self->hearsOthers && other->hearsOthers)
                    live.push_back(other->address);
            }
            self->others.onLiveEntries(live, m_now);
            self->directory.setEntries(self->address, live);
            self->directory.setWarmUpEntries(self->others.addresses(), self->others.isSettled(m_now));
        }
    }

    void restartRunner()
    {
        ++m_startedAtMs;
        for (const auto& each : m_entries)
            each->directory.setRunners({ runnerOf("1", m_startedAtMs) }, m_now);
    }

    // Returns the largest number of requests in any second. Entries that are killed at random start again at once and know nothing.
    std::size_t sendGreedily(duration time, double killsPerSecond)
    {
        std::size_t largest = 0;
        duration sinceHeartbeat {};
        for (const time_point end = m_now + time; m_now < end; m_now += step) {
            sinceHeartbeat += step;
            if (sinceHeartbeat >= milliseconds(500)) {
                sinceHeartbeat = {};
                heartbeat();
            }
            for (auto& each : m_entries) {
                if (std::uniform_real_distribution<double>()(m_random) < killsPerSecond * std::chrono::duration<double>(step).count())
                    each = startedEntry(each->address);
                sendFrom(*each);
            }
            while (!m_sent.empty() && m_now - m_sent.front() >= seconds(1))
                m_sent.pop_front();
            largest = std::max(largest, m_sent.size());
        }
        return largest;
    }

    void sendFrom(entry& self)
    {
        while (const auto runner = self.directory.choose(coldPool, {}, m_now)) {
            self.directory.onAttemptStarted(*runner, m_now);
            m_sent.push_back(m_now);
            // A runner without a limit takes any number.
            if (!self.directory.find(*runner)->limit.isWarmingUp(m_now))
                break;
        }
    }

    static constexpr duration step = milliseconds(5);

    time_point m_now { seconds(100) };
    std::mt19937_64 m_random;
    std::uint64_t m_startedAtMs = 1;
    std::vector<std::unique_ptr<entry>> m_entries;
    // Times of the requests of the last second.
    std::deque<time_point> m_sent;
};

// Guards against a runner that starts again and gets more than it bears while it is cold, at any number of entries, and against
// leaving it idle.
TEST_F(warm_up_fleet, runnerStartsAgain_entriesKnowEachOther_withinLimitAndUsed)
{
    for (const std::size_t entries : { 1, 4, 14, 53 }) {
        start(entries);
        sendGreedily(seconds(10), 0);
        m_sent.clear();
        restartRunner();
        const std::size_t largest = sendGreedily(milliseconds(2900), 0);
        EXPECT_LE(static_cast<double>(largest), limitOfRunners.maxPerSecond) << entries;
        // A single entry cannot tell that it is the only one.
        EXPECT_GE(static_cast<double>(largest), entries == 1 ? 1 : 0.8 * limitOfRunners.requestsPerSecond) << entries;
    }
}

// Guards against entries that have just started, that are killed while they share the rate, or that are cut off and take themselves for
// the only ones.
TEST_F(warm_up_fleet, entriesStartCutOffAndKilled_runnerKeepsComingBackCold_withinLimit)
{
    for (const std::size_t entries : { 4, 14, 53 }) {
        start(entries);
        for (int i = 0; i < 40; ++i) {
            for (auto& each : m_entries)
                each->hearsOthers = i < 10 || std::uniform_real_distribution<double>()(m_random) < 0.7;
            m_sent.clear();
            restartRunner();
            // Each entry is killed every hundred seconds on average.
            EXPECT_LE(static_cast<double>(sendGreedily(milliseconds(2900), 0.01)), limitOfRunners.maxPerSecond) << entries << " entries, start " << i;
        }
    }
}

// Guards against an entry that starts alone, takes itself for the only one, and sends all that the runner bears, also after a long time.
TEST_F(warm_up_fleet, entryHearsOfNoOther_sharesAsIfThereWereMany)
{
    start(1);
    for (int i = 0; i < 25; ++i) {
        m_sent.clear();
        restartRunner();
        EXPECT_EQ(sendGreedily(milliseconds(2900), 0), 1U) << "start " << i;
    }
}

// Guards against entries that are each cut off from all others since their start, and each send all that the runner bears.
TEST_F(warm_up_fleet, allEntriesCutOffSinceTheirStart_withinLimit)
{
    start(14);
    for (auto& each : m_entries) {
        each = startedEntry(each->address);
        each->hearsOthers = false;
    }
    for (int i = 0; i < 25; ++i) {
        m_sent.clear();
        restartRunner();
        EXPECT_LE(static_cast<double>(sendGreedily(milliseconds(2900), 0)), limitOfRunners.maxPerSecond) << "start " << i;
    }
}

class warm_up_choice : public testing::Test {
protected:
    warm_up_choice()
    {
        m_directory.setEngine(coldPool, std::nullopt);
        m_directory.setWarmUp(coldPool, limitOfRunners, m_now);
        m_directory.setEntries("10.0.0.1", { "10.0.0.1", "10.0.0.2" });
        m_directory.setWarmUpEntries({ "10.0.0.1", "10.0.0.2" }, true);
        m_directory.setRunners({ runnerOf("1", 1) }, m_now);
        m_now += seconds(10);
    }

    bool isCold() const { return m_directory.warmingUpCount(m_now) == 1; }

    time_point m_now { seconds(100) };
    runner_directory m_directory { [] { return 0.5; } };
};

// Guards against a runner that says that it is cold while its process goes on, and against a warm-up that never ends because the same
// row of the list is read again.
TEST_F(warm_up_choice, listSaysCold_limitedForThatTimeOnly)
{
    EXPECT_FALSE(isCold());
    listed_runner cold = runnerOf("1", 1);
    cold.reportNumber = 9;
    cold.coldTimeLeft = seconds(2);
    m_directory.setRunners({ cold }, m_now);
    EXPECT_TRUE(isCold());
    EXPECT_EQ(m_directory.coldRunners(m_now + seconds(1)), std::vector<cold_runner>({ { processOf(cold), seconds(1) } }));
    m_now += seconds(2);
    m_directory.setRunners({ cold }, m_now);
    EXPECT_FALSE(isCold());
    EXPECT_TRUE(m_directory.coldRunners(m_now).empty());
}

// Guards against a shorter statement that ends a warm-up, and one about an earlier process.
TEST_F(warm_up_choice, answersAndOtherEntriesSayCold_longestCounts)
{
    EXPECT_FALSE(m_directory.onCold({ processOf(runnerOf("1", 99)), seconds(9) }, m_now));
    EXPECT_TRUE(m_directory.onColdUpdate({ processOf(runnerOf("1", 1)), seconds(5) }, m_now));
    EXPECT_FALSE(m_directory.onCold({ processOf(runnerOf("1", 1)), seconds(1) }, m_now));
    m_now += seconds(4);
    EXPECT_TRUE(isCold());
    m_now += seconds(1);
    EXPECT_FALSE(isCold());
}

// Guards against all entries turning at once to the idle runners of a zone that is taken back, which may be cold.
TEST_F(warm_up_choice, zoneTakenBack_warmsUp)
{
    m_directory.setEvacuatedZones({ availability_zone_id("a") }, m_now);
    EXPECT_FALSE(isCold());
    m_directory.setEvacuatedZones({}, m_now);
    EXPECT_TRUE(isCold());
}

// Guards against a process that starts again under its id before the list shows it.
TEST_F(warm_up_choice, connectionRefused_warmsUp)
{
    m_directory.onAttemptStarted(runner_id("1"), m_now);
    m_directory.onAttemptFailed(runner_id("1"), attempt_failure::NotConnected, m_now);
    EXPECT_TRUE(isCold());
}

// Guards against two entries that keep telling each other that a runner is cold, each time for a little longer.
TEST_F(warm_up_choice, otherEntrySaysCold_notPassedOn)
{
    m_directory.onColdUpdate({ processOf(runnerOf("1", 1)), seconds(5) }, m_now);
    EXPECT_TRUE(isCold());
    EXPECT_TRUE(m_directory.isCold(*m_directory.find(runner_id("1")), m_now));
    EXPECT_TRUE(m_directory.coldRunners(m_now).empty());
}

// Guards against a wrong statement that limits a runner for days.
TEST_F(warm_up_choice, saysColdForDays_limitedForAMinute)
{
    m_directory.onColdUpdate({ processOf(runnerOf("1", 1)), std::chrono::hours(1000) }, m_now);
    m_directory.onCold({ processOf(runnerOf("1", 1)), std::chrono::hours(1000) }, m_now);
    m_now += seconds(60);
    EXPECT_FALSE(isCold());
}

// Guards against a second request within the same second to a runner that starts again under its id.
TEST_F(warm_up_choice, startsAgainUnderItsId_spacingKept)
{
    m_directory.onAttemptStarted(runner_id("1"), m_now);
    m_now += milliseconds(10);
    m_directory.setRunners({ runnerOf("1", 2) }, m_now);
    EXPECT_FALSE(m_directory.choose(coldPool, {}, m_now));
    m_now += seconds(1);
    EXPECT_TRUE(m_directory.choose(coldPool, {}, m_now));
}

// Guards against the same for a runner whose row is missing for a moment.
TEST_F(warm_up_choice, rowMissingForAMoment_spacingKept)
{
    m_directory.onAttemptStarted(runner_id("1"), m_now);
    m_now += milliseconds(10);
    m_directory.setRunners({}, m_now);
    m_now += milliseconds(10);
    m_directory.setRunners({ runnerOf("1", 2) }, m_now);
    EXPECT_FALSE(m_directory.choose(coldPool, {}, m_now));
    m_now += seconds(1);
    EXPECT_TRUE(m_directory.choose(coldPool, {}, m_now));
}

// Guards against a warm-up that goes on after the rate was taken out of the configuration.
TEST_F(warm_up_choice, coldRateRemovedDuringWarmUp_limitEnds)
{
    m_directory.onCold({ processOf(runnerOf("1", 1)), seconds(5) }, m_now);
    m_directory.setWarmUp(coldPool, std::nullopt, m_now);
    EXPECT_FALSE(isCold());
    EXPECT_TRUE(m_directory.coldRunners(m_now).empty());
}

// Guards against a warm runner that is limited for seconds because one answer was lost.
TEST_F(warm_up_choice, oneResponseLost_notLimited)
{
    m_directory.onAttemptStarted(runner_id("1"), m_now);
    m_directory.onAttemptFailed(runner_id("1"), attempt_failure::OutcomeUnknown, m_now);
    EXPECT_FALSE(isCold());
    m_directory.onAttemptStarted(runner_id("1"), m_now);
    m_directory.onAttemptFailed(runner_id("1"), attempt_failure::OutcomeUnknown, m_now);
    EXPECT_TRUE(isCold()) << "the runner may have ended with all its requests";
}

// Guards against the same after streams were silent for a while, which a slow runner explains.
TEST_F(warm_up_choice, streamsSilent_notLimited)
{
    for (int i = 0; i < 3; ++i)
        m_directory.onSilence(runner_id("1"), m_now);
    EXPECT_FALSE(isCold());
}

// Guards against a model runner that stays limited for as long as its agent is down.
TEST_F(warm_up_choice, agentOfModelRunnerEnds_limitedForAWhileOnly)
{
    engine_profile engine;
    engine.slots = 10;
    m_directory.setEngine(coldPool, engine);
    rank_load load;
    load.runner = runner_id("1");
    load.group = group_id("g");
    load.startedAtMs = 1;
    load.isGroupOpen = true;
    m_directory.onLoadReport(load, m_now);
    const auto sendTwice = [&] {
        for (int i = 0; i < 2; ++i) {
            if (!m_directory.choose(coldPool, {}, m_now))
                return false;
            m_directory.onAttemptStarted(runner_id("1"), m_now);
        }
        return true;
    };
    m_now += seconds(5);
    EXPECT_FALSE(sendTwice());
    m_now += seconds(6);
    EXPECT_TRUE(sendTwice());
}

TEST_F(warm_up_choice, poolWithoutColdRate_neverLimited)
{
    m_directory.setWarmUp(coldPool, std::nullopt, m_now);
    m_directory.setRunners({ runnerOf("1", 2) }, m_now);
    for (int i = 0; i < 100; ++i) {
        ASSERT_TRUE(m_directory.choose(coldPool, {}, m_now));
        m_directory.onAttemptStarted(runner_id("1"), m_now);
    }
}

class warm_up_translation : public testing::Test { };

TEST_F(warm_up_translation, configurationRowAndHead_read)
{
    std::string problem;
    const auto configuration = platform::readConfiguration(R"({"version":7,"routes":[],"services":[{"name":"p","cold_start_s":1.5,"cold_per_s":12}]})", problem);
    ASSERT_TRUE(configuration) << problem;
    EXPECT_EQ(configuration->pools.at(coldPool).coldTime, milliseconds(1500));
    EXPECT_DOUBLE_EQ(configuration->pools.at(coldPool).coldRequestsPerSecond, 12);
    const auto runner = platform::readRunner("i", R"({"service":"p","address":"10.0.0.1:80","state":"ready","slots":1,"cold_left_ms":700})");
    ASSERT_TRUE(runner);
    EXPECT_EQ(runner->coldTimeLeft, milliseconds(700));
    http_response_head response;
    response.fields = { { "cold-ms", "250" } };
    EXPECT_EQ(platform::readResponseHead(response).coldTimeLeft, milliseconds(250));
    response.fields = { { "Cold-Ms", "soon" } };
    EXPECT_FALSE(platform::readResponseHead(response).coldTimeLeft);
}

TEST_F(warm_up_translation, heartbeat_carriesColdRunners)
{
    entry_heartbeat_message heartbeat;
    heartbeat.coldRunners = { { runner_process_id(1ULL << 63), milliseconds(900) } };
    const auto decoded = decode(encode(heartbeat));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(std::get<entry_heartbeat_message>(*decoded).coldRunners, heartbeat.coldRunners);
}

}
