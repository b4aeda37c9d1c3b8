#include "fleet/fleet_message.h"
#include "platform/request_translation.h"
#include "relay/http_response_head.h"
#include "serving/runner_directory.h"
#include "serving/runner_response_head.h"
#include "tests/fleet/entry_fixture.h"

#include <gtest/gtest.h>

namespace sardinelb::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

class runner_signal_fields : public testing::Test {
protected:
    static runner_response_head headWith(int status, std::vector<http_field> fields)
    {
        http_response_head response;
        response.status = status;
        response.fields = std::move(fields);
        return platform::readResponseHead(response);
    }
};

// Guards against an odd value that takes a sound runner out of service for good, or that ends the entry.
TEST_F(runner_signal_fields, pauseOfOddValue_boundedOrIgnored)
{
    EXPECT_EQ(headWith(503, { { "Retry-After", "1.5" } }).pauseTime, milliseconds(1500));
    EXPECT_EQ(headWith(503, { { "Retry-After", "31536000" } }).pauseTime, seconds(60));
    EXPECT_EQ(headWith(503, { { "Retry-After", "1" }, { "Retry-After", "3" } }).pauseTime, seconds(3));
    for (const char* value : { "-1", "nan", "inf", "soon", "", "1 s" }) {
        const runner_response_head head = headWith(503, { { "Retry-After", value } });
        EXPECT_FALSE(head.pauseTime) << value;
        EXPECT_EQ(head.unreadableFields.size(), 1U) << value;
    }
    EXPECT_FALSE(headWith(200, { { "Retry-After", "2" } }).pauseTime) << "only a rejection asks for a pause";
}

TEST_F(runner_signal_fields, leavingOfOddValue_ignored)
{
    EXPECT_TRUE(headWith(200, { { "Server-Leaving", "1" } }).isLeaving);
    EXPECT_TRUE(headWith(503, { { "server-leaving", "1" } }).isLeaving);
    for (const char* value : { "0", "", "true", "2", "11" })
        EXPECT_FALSE(headWith(200, { { "Server-Leaving", value } }).isLeaving) << value;
}

class runner_signal_choice : public testing::Test {
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

    runner_signal_choice()
    {
        m_directory.setEngine(m_pool, std::nullopt);
        m_directory.setRunners({ runnerOf("1"), runnerOf("2") }, m_now);
    }

    exclusion_reason exclusionOf(const std::string& id, duration after = {}) const
    {
        return m_directory.exclusionOf(*m_directory.find(runner_id(id)), m_now + after);
    }

    const pool_id m_pool { "p" };
    time_point m_now { seconds(100) };
    runner_directory m_directory { [] { return 0.5; } };
};

// Guards against sending requests to a runner that has said that it leaves while the list still calls it ready.
TEST_F(runner_signal_choice, processLeaves_getsNothingAndOthersAreTold)
{
    EXPECT_TRUE(m_directory.onLeaving(processOf(runnerOf("1"))));
    EXPECT_FALSE(m_directory.onLeaving(processOf(runnerOf("1")))) << "known already";
    EXPECT_EQ(exclusionOf("1"), exclusion_reason::Leaving);
    EXPECT_EQ(m_directory.choose(m_pool, {}, m_now), runner_id("2"));
    EXPECT_EQ(m_directory.leavingRunners(), std::vector { processOf(runnerOf("1")) });
}

// Guards against keeping the runner's next process out of service, and against a late answer of the one before.
TEST_F(runner_signal_choice, runnerStartsAgain_isUsedAndOldAnswerIgnored)
{
    m_directory.onLeaving(processOf(runnerOf("1")));
    m_directory.setRunners({ runnerOf("1", 2), runnerOf("2") }, m_now);
    EXPECT_EQ(exclusionOf("1"), exclusion_reason::None);
    EXPECT_FALSE(m_directory.onLeaving(processOf(runnerOf("1", 1))));
    m_directory.onPauseRequested(processOf(runnerOf("1", 1)), seconds(5), m_now);
    EXPECT_EQ(exclusionOf("1"), exclusion_reason::None);
}

// Guards against requests within the time for which a runner wants none, and against a shorter time that ends a longer one.
TEST_F(runner_signal_choice, runnerAsksForPause_nothingUntilItEnds)
{
    m_directory.onPauseRequested(processOf(runnerOf("1")), seconds(2), m_now);
    m_directory.onPauseRequested(processOf(runnerOf("1")), milliseconds(100), m_now + milliseconds(100));
    EXPECT_EQ(exclusionOf("1", milliseconds(1990)), exclusion_reason::PauseRequested);
    EXPECT_EQ(exclusionOf("1", seconds(2)), exclusion_reason::None);
}

class runner_signal_message : public testing::Test { };

TEST_F(runner_signal_message, heartbeat_carriesLeavingRunners)
{
    entry_heartbeat_message heartbeat;
    heartbeat.leavingRunners = { runner_process_id(3), runner_process_id(1ULL << 63) };
    const auto decoded = decode(encode(heartbeat));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(std::get<entry_heartbeat_message>(*decoded).leavingRunners, heartbeat.leavingRunners);
}

class entry_runner_signals : public entry_fixture { };

// Guards against requests to a runner whose answers alone say that it leaves.
TEST_F(entry_runner_signals, answerSaysThatRunnerLeaves_nextRequestsGoElsewhere)
{
    int toLeaving = 0;
    addRunner("stays", respondsWith(200, "ok"));
    addRunner("leaves", [&](const std::shared_ptr<http_server_connection>& caller, const http_request_message&) {
        ++toLeaving;
        caller->respond(200, "Attempt-Id: a1\r\nServer-Seal: s.1\r\nServer-Leaving: 1\r\n", "ok");
    });
    startStore();
    startEntry();
    for (int i = 0; i < 40; ++i)
        EXPECT_EQ(call(request("POST", "/book/x", "Authorization: Bearer k1\r\n", "b")).status, 200);
    EXPECT_EQ(toLeaving, 1);
}

// Guards against trying a runner again within the time for which it wants no request, even when there is no other.
TEST_F(entry_runner_signals, onlyRunnerRejectsForAWhile_getsOneRequest)
{
    int rejected = 0;
    addRunner("busy", [&](const std::shared_ptr<http_server_connection>& caller, const http_request_message&) {
        ++rejected;
        caller->respond(503, "Attempt-Id: a1\r\nNot-Executed: 1\r\nRetry-After: 30\r\n", "");
    });
    startStore();
    startEntry();
    for (int i = 0; i < 4; ++i) {
        const caller_result result = call(request("POST", "/book/x", "Authorization: Bearer k1\r\n", "b"));
        EXPECT_EQ(result.status, 503);
        // The first request finds out; the others need not wait to be told.
        if (i > 0) {
            EXPECT_GT(std::stod(result.fields.at("Retry-After")), 20);
        }
        runFor(milliseconds(300));
    }
    EXPECT_EQ(rejected, 1);
}

}
