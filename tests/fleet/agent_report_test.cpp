#include "fleet/agent_process.h"
#include "fleet/event_log.h"
#include "fleet/http_listener.h"
#include "platform/settings.h"
#include "relay/http_request_message.h"
#include "tests/support/port_reservation.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>

namespace sardinelb::test {

using std::chrono::milliseconds;

// An agent beside a runner that takes a while for each report. A rank of the runner's group is armed, so that the agent reads
// its reports most often.
class agent_of_slow_runner : public testing::Test {
protected:
    agent_of_slow_runner()
        : m_log("test-agent")
    {
        m_settings.daemon = daemon_id("test-agent");
        m_settings.ip = "127.0.0.1";
        m_settings.runnerAddress = "127.0.0.1:" + std::to_string(port_reservation::reserve(1));
        m_settings.firstPeerPort = port_reservation::reserve(8);
        m_settings.linkMegabitsPerSecond = 100;
        http_server_connection::hooks hooks;
        hooks.onRequest = [this](const std::shared_ptr<http_server_connection>& caller, http_request_message&& message) { respond(caller, message); };
        hooks.onRejected = [](int, const char*) {};
        m_runner = std::make_shared<http_listener>(m_context.get_executor(), std::move(hooks));
        std::string problem;
        EXPECT_TRUE(m_runner->listen(m_settings.runnerAddress, problem)) << problem;
    }

    void respond(const std::shared_ptr<http_server_connection>& caller, const http_request_message& message)
    {
        if (message.target != "/v1/report") {
            caller->respond(404, "", "");
            return;
        }
        ++m_reports;
        m_mostAtOnce = std::max(m_mostAtOnce, ++m_open);
        auto timer = std::make_shared<boost::asio::steady_timer>(m_context, m_responseTime);
        timer->async_wait([this, timer, caller](const boost::system::error_code&) {
            --m_open;
            caller->respond(200, "", R"({"stage":"colocated","models":[],"busy":false,"seq":1,"queued":0,"active":0,"kv_used":0,"kv_total":1000,"handles":0,"pace":1.0,"born":1000,"size":2,)"
                                     R"("group":{"name":"g","epoch":1,"rank":1,"state":"open"},"step":5,"map":0,"prepared":3,"armed":3,"held":null})");
        });
    }

    void run(milliseconds time)
    {
        agent_process agent(m_context, m_settings, m_log);
        ASSERT_TRUE(agent.start());
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end)
            m_context.run_one_for(milliseconds(5));
    }

    boost::asio::io_context m_context;
    event_log m_log;
    platform::settings m_settings;
    std::shared_ptr<http_listener> m_runner;
    milliseconds m_responseTime { 60 };
    int m_open = 0;
    int m_mostAtOnce = 0;
    int m_reports = 0;
};

// Guards against reads that pile up at a slow runner, so that each takes longer than the agent waits and none succeeds any more.
TEST_F(agent_of_slow_runner, switchInProgress_oneReportAtATime)
{
    run(milliseconds(1500));
    EXPECT_EQ(m_mostAtOnce, 1);
    EXPECT_GE(m_reports, 10);
}

}
