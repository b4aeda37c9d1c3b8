#include "tests/fleet/entry_fixture.h"

#include <algorithm>

namespace sardinelb::test {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

class entry_limit : public entry_fixture {
protected:
    void addRunners()
    {
        addRunner("free", respondsWith(200, "ok"));
        addRunner("limited", [this](const std::shared_ptr<http_server_connection>& caller, const http_request_message&) {
            m_limitedRequests.push_back(steady_clock::now());
            const std::string limit = m_limit.empty() ? std::string() : "Server-Limit: " + m_limit + "\r\n";
            caller->respond(200, "Attempt-Id: a1\r\nServer-Seal: s.1\r\n" + limit, "ok");
        });
        startStore();
        startEntry();
    }

    // Sends about 100 requests a second.
    void sendFor(milliseconds time)
    {
        const auto end = steady_clock::now() + time;
        while (steady_clock::now() < end) {
            EXPECT_EQ(call(request("POST", "/book/x", "Authorization: Bearer k1\r\n", "b")).status, 200);
            runFor(milliseconds(10));
        }
    }

    std::size_t limitedRequestsSince(steady_clock::time_point begin) const
    {
        return static_cast<std::size_t>(std::count_if(m_limitedRequests.begin(), m_limitedRequests.end(), [&](auto at) { return at >= begin; }));
    }

    std::string m_limit = "2.0";
    std::vector<steady_clock::time_point> m_limitedRequests;
};

// Guards against sending a runner more requests than the limit that it names.
TEST_F(entry_limit, runnerNamesLimit_manyRequests_othersServeThem)
{
    constexpr double allowedPerSecond = 2.0;
    constexpr double tolerance = 1.5;
    constexpr double slack = 5;
    addRunners();
    sendFor(milliseconds(500));
    const auto begin = steady_clock::now();
    sendFor(milliseconds(2500));
    EXPECT_LE(static_cast<double>(limitedRequestsSince(begin)), allowedPerSecond * tolerance * 2.5 + slack);
    EXPECT_GE(limitedRequestsSince(begin), 2U);
}

}
