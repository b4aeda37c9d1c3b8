#include "fleet/agent_process.h"
#include "fleet/event_log.h"
#include "fleet/fleet_message.h"
#include "fleet/http_listener.h"
#include "fleet/peer_ports.h"
#include "platform/json_fields.h"
#include "platform/rank_client.h"
#include "platform/settings.h"
#include "relay/endpoint.h"
#include "relay/http_request_message.h"
#include "relay/udp_socket.h"
#include "tests/support/port_reservation.h"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sardinelb::test {

using std::chrono::milliseconds;

// An agent, its runner and an entry in one thread, connected by loopback sockets.
class odd_runner_answer : public testing::Test {
protected:
    odd_runner_answer()
        : m_log("test-agent")
    {
        m_settings.daemon = daemon_id("test-agent");
        m_settings.ip = "127.0.0.1";
        m_settings.runnerAddress = "127.0.0.1:" + std::to_string(port_reservation::reserve(1));
        m_settings.firstPeerPort = port_reservation::reserve(4);
    }

    void SetUp() override
    {
        startRunner();
        m_entry = std::make_shared<udp_socket>(m_context.get_executor(), [this](std::string_view bytes, const boost::asio::ip::udp::endpoint&) {
            if (const auto message = decode(bytes); message && std::holds_alternative<load_message>(*message))
                m_loads.push_back(std::get<load_message>(*message));
        });
        std::string problem;
        ASSERT_TRUE(m_entry->open(m_settings.ip, m_settings.firstPeerPort + entryDatagramPortOffset, problem)) << problem;
        m_agent = std::make_unique<agent_process>(m_context, m_settings, m_log);
        ASSERT_TRUE(m_agent->start());
        runFor(milliseconds(300));
        ASSERT_FALSE(m_loads.empty());
    }

    // Every test checks at its end that the agent still reports what its runner says.
    void TearDown() override
    {
        m_report = report("6");
        m_experts = goodExperts();
        m_choices = goodChoices();
        runFor(milliseconds(500));
        m_loads.clear();
        runFor(milliseconds(400));
        ASSERT_FALSE(m_loads.empty()) << "the agent has stopped reporting";
        EXPECT_EQ(m_loads.back().load.running, 6U);
        EXPECT_EQ(m_loads.back().load.group.value(), "g");
    }

    static std::string report(const std::string& active, const std::string& size = "2", const std::string& group = R"({"name":"g","epoch":1,"rank":0,"state":"open"})")
    {
        return R"({"stage":"colocated","busy":false,"seq":0,"queued":0,"active":)" + active + R"(,"pace":1,"born":1000,"step":5,"map":0,"prepared":null,"armed":null,"held":null,"size":)" + size + R"(,"group":)" + group + "}";
    }

    static std::string goodExperts() { return R"({"step":5,"epoch":1,"map":{"version":0,"experts":[[0,2],[1,3]]},"prepared":null})"; }
    static std::string goodChoices() { return R"({"step":5,"epoch":1,"counts":[1,2,3,4,5,6,7,8]})"; }

    // Runs the context while the entry sends heartbeats, which make the agent report to it.
    void runFor(milliseconds time)
    {
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            entry_heartbeat_message heartbeat;
            heartbeat.daemon = daemon_id("test-entry");
            heartbeat.group = group_id("g");
            heartbeat.members = { { rank_id(0), m_settings.runnerAddress, {} } };
            heartbeat.expertsPerRank = 4;
            heartbeat.newExpertsPerRank = 2;
            heartbeat.slots = 8;
            m_entry->send(encode(heartbeat), *udpEndpoint("127.0.0.1:0", m_settings.firstPeerPort + agentDatagramPortOffset));
            m_context.run_for(milliseconds(50));
        }
    }

    boost::asio::io_context m_context;
    event_log m_log;
    platform::settings m_settings;
    std::string m_report = report("3");
    std::string m_experts = goodExperts();
    std::string m_choices = goodChoices();
    std::vector<load_message> m_loads;

private:
    void startRunner()
    {
        http_server_connection::hooks hooks;
        hooks.onRequest = [this](const std::shared_ptr<http_server_connection>& caller, http_request_message&& message) {
            if (message.target == "/v1/report")
                caller->respond(200, "", m_report);
            else
                caller->respond(200, "", message.target == "/v1/picked" ? m_choices : m_experts);
        };
        hooks.onRejected = [](int, const char*) {};
        m_runner = std::make_shared<http_listener>(m_context.get_executor(), std::move(hooks));
        std::string problem;
        ASSERT_TRUE(m_runner->listen(m_settings.runnerAddress, problem)) << problem;
    }

    std::shared_ptr<http_listener> m_runner;
    std::shared_ptr<udp_socket> m_entry;
    std::unique_ptr<agent_process> m_agent;
};

// Guards against an exception or a conversion without a defined result.
TEST(whole_number, valueOutOfRange_read_nothing)
{
    const auto read = [](const std::string& text) { return platform::wholeNumber(boost::json::parse(text), 65535); };
    EXPECT_EQ(read("0"), 0U);
    EXPECT_EQ(read("65535"), 65535U);
    EXPECT_EQ(read("6.0"), 6U);
    EXPECT_EQ(read("1e2"), 100U);
    for (const char* text : { "-1", "2.5", "65536", "1e30", "1e400", "-1e400", "4294967296", "18446744073709551616", "-9223372036854775809", "\"NaN\"", "null", "true", "[[[[]]]]", "{}" })
        EXPECT_FALSE(read(text)) << text;
    EXPECT_EQ(platform::wholeNumber(boost::json::parse("18446744073709551615"), UINT64_MAX), UINT64_MAX);
    EXPECT_FALSE(platform::wholeNumber(boost::json::parse("18446744073709551616"), UINT64_MAX));
}

// Guards against an agent that ends because a count does not fit its type.
TEST_F(odd_runner_answer, choiceCountOutOfRange_read_agentGoesOn)
{
    for (const char* count : { "-1", "1e30" }) {
        m_choices = R"({"step":5,"epoch":1,"counts":[1,)" + std::string(count) + "]}";
        runFor(milliseconds(1100));
    }
}

// Guards against an agent that ends because the number of an expert does not fit its type.
TEST_F(odd_runner_answer, expertNumberOutOfRange_read_agentGoesOn)
{
    for (const char* expert : { "65536", "1e30" }) {
        m_experts = R"({"epoch":1,"map":{"version":0,"experts":[[0,)" + std::string(expert) + "]]}}";
        m_report = report("3", "2", R"({"name":"g","epoch":2,"rank":0,"state":"open"})");
        runFor(milliseconds(300));
        m_report = report("3", "2", R"({"name":"g","epoch":3,"rank":0,"state":"open"})");
        runFor(milliseconds(300));
    }
}

// Guards against an idle or absent runner, a group of billions of ranks or a datagram beyond the limit that one wrong field makes.
TEST_F(odd_runner_answer, reportFieldOutOfRange_read_countsAsNoReport)
{
    const std::string group = R"({"name":"g","epoch":1,"rank":0,"state":"open"})";
    const std::vector<std::string> reports {
        report("-1"),
        report("1e308"),
        report("4294967296"),
        report("2.5"),
        report("\"many\""),
        report("7", "-2"),
        report("7", "1e400"),
        report("7", "4294967295"),
        report("7", "2", R"({"name":"g","epoch":1,"rank":4294967296,"state":"open"})"),
        report("7", "2", R"({"name":"g","epoch":1,"rank":2,"state":"open"})"),
        report("7", "2", R"({"name":"g","epoch":1e300,"rank":0,"state":"open"})"),
        report("7", "2", R"({"name":")" + std::string(100000, 'g') + R"(","epoch":1,"rank":0,"state":"open"})"),
        report("7", "2", R"({"name":7,"epoch":1,"rank":0,"state":"open"})"),
        report("7", "2", "[]"),
        report("7", "2", std::string(5000, '[') + std::string(5000, ']')),
        R"({"active":7,"pace":1e400,"size":2,"group":)" + group + "}",
        R"({"active":7,"pace":-1,"size":2,"group":)" + group + "}",
        R"({"active":7,"born":1e30,"size":2,"group":)" + group + "}",
        R"({"active":7,"map":-1,"size":2,"group":)" + group + "}",
        R"({"active":7,"armed":{"version":1e30},"size":2,"group":)" + group + "}",
    };
    for (const std::string& odd : reports) {
        m_report = odd;
        runFor(milliseconds(150));
        m_loads.clear();
        runFor(milliseconds(200));
        EXPECT_TRUE(m_loads.empty()) << odd.substr(0, 200);
    }
}

// Guards against lists that exceed a datagram, so that the coordinator hears no more of the rank.
TEST_F(odd_runner_answer, listTooLongForADatagram_read_countsAsNone)
{
    std::string numbers = "0";
    for (int i = 1; i < 70000; ++i)
        numbers += ",1";
    m_experts = R"({"epoch":1,"map":{"version":0,"experts":[[)" + numbers + "]]}}";
    m_choices = R"({"epoch":1,"counts":[)" + numbers + "]}";
    platform::rank_client client(m_context.get_executor(), 1000);
    int answers = 0;
    client.readExperts(m_settings.runnerAddress, [&](const std::optional<platform::held_experts>& held) {
        EXPECT_FALSE(held);
        ++answers;
    });
    client.readChoices(m_settings.runnerAddress, [&](const std::optional<platform::expert_choices>& choices) {
        EXPECT_FALSE(choices);
        ++answers;
    });
    runFor(milliseconds(400));
    EXPECT_EQ(answers, 2);
}

}
