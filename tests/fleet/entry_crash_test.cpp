#include "fleet/fleet_message.h"
#include "fleet/peer_ports.h"
#include "platform/quarantine_row.h"
#include "tests/fleet/entry_fixture.h"

namespace sardinelb::test {

namespace {

constexpr int runnerCount = 8;

// Enough answers for the entry to know which parts of prompts are harmless.
constexpr int ordinaryRequests = 30;

}

class entry_crash : public entry_fixture {
protected:
    // Runners that stream one event, and that end when they begin an answer to a prompt with the part `deadly`.
    void addRunners()
    {
        for (int i = 0; i < runnerCount; ++i) {
            stand_in_runner& runner = addRunner("r" + std::to_string(i), {});
            runner.onRequest = [this, raw = &runner](const std::shared_ptr<http_server_connection>& caller, const http_request_message& message) {
                if (fieldOf(message, "Prefix-Hash").find("dead:") == std::string::npos) {
                    caller->respond(200, "Attempt-Id: a1\r\nServer-Seal: s.1\r\nContent-Type: text/event-stream\r\n", "id: 1\ndata: x\n\n");
                    return;
                }
                ++m_crashes;
                raw->server->stopAccepting();
                caller->abort();
            };
        }
        startStore();
        startEntry();
    }

    caller_result generate(const std::string& parts)
    {
        return call(request("POST", "/write/x", "Authorization: Bearer k1\r\nPrefix-Hash: " + parts + "\r\n", "prompt"));
    }

    // Sends a datagram to the entry, as another entry would.
    void sendDatagram(const std::string& bytes)
    {
        using boost::asio::ip::udp;
        udp::socket socket(m_context, udp::endpoint(udp::v4(), 0));
        const unsigned short port = m_settings.firstPeerPort + entryDatagramPortOffset;
        socket.send_to(boost::asio::buffer(bytes), udp::endpoint(boost::asio::ip::make_address("127.0.0.1"), port));
        runFor(std::chrono::milliseconds(20));
    }

    int m_crashes = 0;
};

// Guards against sending requests with a prompt part that crashes runners to one runner after the other.
TEST_F(entry_crash, promptPartCrashesRunners_requestsKeepComing_twoRunnersCrash)
{
    addRunners();
    for (int i = 0; i < ordinaryRequests; ++i)
        ASSERT_EQ(generate("a:40,b:60,c" + std::to_string(i) + ":9").status, 200);
    for (int i = 0; i < 2 * runnerCount; ++i)
        EXPECT_NE(generate("a:40,dead:60,d" + std::to_string(i) + ":9").status, 200);
    EXPECT_EQ(m_crashes, 2);
    EXPECT_EQ(generate("a:40,b:60,e:9").status, 200);
}

// Guards against a repeat of the request that crashed its runner, which would crash the next one.
TEST_F(entry_crash, promptPartCrashesRunner_firstRequest_notRepeated)
{
    addRunners();
    for (int i = 0; i < ordinaryRequests; ++i)
        ASSERT_EQ(generate("a:40,b:60,c" + std::to_string(i) + ":9").status, 200);
    EXPECT_EQ(generate("a:40,dead:60,d:9").status, 502);
    EXPECT_EQ(m_crashes, 1);
}

// Guards against a claim that a rejected request has not run when an earlier attempt may have run, and against rejections without
// the time at which to come back.
TEST_F(entry_crash, promptPartQuarantined_request_rejectedAtOnceAsNotRun)
{
    addRunners();
    for (int i = 0; i < ordinaryRequests; ++i)
        ASSERT_EQ(generate("a:40,b:60,c" + std::to_string(i) + ":9").status, 200);
    for (int i = 0; i < 2; ++i)
        generate("a:40,dead:60,d" + std::to_string(i) + ":9");
    const std::size_t before = receivedRequests();
    const caller_result result = generate("a:40,dead:60,e:9");
    EXPECT_EQ(result.status, 503);
    ASSERT_TRUE(result.fields.contains("Retry-After"));
    EXPECT_GT(std::stod(result.fields.at("Retry-After")), 0);
    EXPECT_EQ(receivedRequests(), before);
    EXPECT_LT(result.took, std::chrono::milliseconds(200));
}

// Guards against forgetting, when all entries restart, which prompt parts crash runners.
TEST_F(entry_crash, promptPartQuarantined_entryRestarts_requestStillRejected)
{
    prompt_part_evidence stored;
    stored.pool = pool_id("plain");
    stored.part = prompt_part_id(0xdead);
    stored.quarantineLeft = std::chrono::minutes(1);
    m_quarantineRows["row"] = platform::encodeQuarantine(stored, std::chrono::system_clock::now());
    m_quarantineRows["bad"] = "{}";
    addRunners();
    EXPECT_EQ(generate("a:40,dead:60,d:9").status, 503);
    EXPECT_EQ(generate("a:40,b:60,d:9").status, 200);
    EXPECT_EQ(m_crashes, 0);
}

// Guards against a quarantine that is lost because the store did not answer once.
TEST_F(entry_crash, promptPartQuarantined_storeRefusesFirst_storedOnce)
{
    m_writeStatus = 503;
    addRunners();
    for (int i = 0; i < ordinaryRequests; ++i)
        ASSERT_EQ(generate("a:40,b:60,c" + std::to_string(i) + ":9").status, 200);
    for (int i = 0; i < 2; ++i)
        generate("a:40,dead:60,d" + std::to_string(i) + ":9");
    runFor(std::chrono::milliseconds(100));
    ASSERT_EQ(m_writes.size(), 1U);
    m_writeStatus = 200;
    runFor(std::chrono::milliseconds(1300));
    EXPECT_EQ(m_writes.size(), 2U);
}

// Guards against ignoring what an entry that stops has learned: entries that replace it would let the runners crash again.
TEST_F(entry_crash, entryThatStops_tellsOfQuarantine_requestRejected)
{
    addRunners();
    entry_heartbeat_message heartbeat;
    heartbeat.isStopping = true;
    heartbeat.promptParts = { { pool_id("plain"), prompt_part_id(0xdead), 1, { { runner_process_id(1), {} }, { runner_process_id(2), {} } }, std::nullopt, std::chrono::seconds(30), 1 } };
    sendDatagram(encode(heartbeat));
    EXPECT_EQ(generate("a:40,dead:60,d:9").status, 503);
    EXPECT_EQ(m_crashes, 0);
}

}
