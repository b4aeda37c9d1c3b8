#include "tests/fleet/entry_fixture.h"

namespace sardinelb::test {

using std::chrono::milliseconds;

// An entry that is stopped, as planned, with a grace of 4 s. It accepts all requests for 2.6 s and ends after 3.6 s.
class entry_stop : public entry_fixture {
protected:
    static constexpr milliseconds lateArrival { 2800 };

    void start(stand_in_runner::behaviour onRequest)
    {
        m_settings.stopGrace = std::chrono::seconds(4);
        const std::string routes = R"("routes":[)";
        m_configuration.insert(m_configuration.find(routes) + routes.size(), R"({"name":"long","hostname":"h.example","prefix":"/long/","route_type":"unsafe","timeout_ms":8000,"service":"plain","attempts":1},)");
        addRunner("r1", std::move(onRequest));
        startStore();
        startEntry();
    }

    static std::string requestWithDeadline(const std::string& target, const std::string& deadlineMs)
    {
        return "POST " + target + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\nDeadline-Ms: " + deadlineMs + "\r\nAuthorization: Bearer k1\r\nContent-Length: 1\r\n\r\nb";
    }

    // Sends a request and stops the entry at once. The last byte of the request follows `lastByteAfter` later. Returns what the
    // caller receives until the connection closes.
    std::string stopWhileSending(const std::string& bytes, milliseconds lastByteAfter)
    {
        using boost::asio::ip::tcp;
        tcp::socket socket(m_context);
        const std::size_t colon = m_settings.callerAddress.find(':');
        socket.connect({ boost::asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(std::stoi(m_settings.callerAddress.substr(colon + 1))) });
        boost::asio::write(socket, boost::asio::buffer(bytes.substr(0, bytes.size() - 1)));
        runFor(milliseconds(50));
        m_entry->stop();
        runFor(lastByteAfter);
        boost::asio::write(socket, boost::asio::buffer(bytes.substr(bytes.size() - 1)));
        std::string received;
        bool isClosed = false;
        boost::asio::async_read(socket, boost::asio::dynamic_buffer(received), [&](const boost::system::error_code&, std::size_t) { isClosed = true; });
        const auto begin = std::chrono::steady_clock::now();
        while (!isClosed && !m_context.stopped() && std::chrono::steady_clock::now() - begin < std::chrono::seconds(5))
            m_context.run_one_for(milliseconds(10));
        EXPECT_TRUE(isClosed) << "the entry ended without closing the connection";
        return received;
    }

    stand_in_runner::behaviour answersAfter(milliseconds time)
    {
        return [this, time](const std::shared_ptr<http_server_connection>& caller, const http_request_message&) {
            runAfter(time, [caller] { caller->respond(200, "Attempt-Id: a1\r\nServer-Seal: s.1\r\n", "whole"); });
        };
    }
};

// Guards against a request, here a booking, that is complete late in the grace, is passed on, and is cut when the entry ends.
TEST_F(entry_stop, requestCompleteLate_timeLimitOutlastsTheEntry_rejectedAsNotRun)
{
    start(answersAfter(milliseconds(900)));
    const std::string received = stopWhileSending(requestWithDeadline("/book/x", "1000"), lateArrival);
    EXPECT_TRUE(received.starts_with("HTTP/1.1 503 ")) << received;
    EXPECT_NE(received.find("Retry-After: 0.00\r\n"), std::string::npos) << received;
    EXPECT_NE(received.find("Connection: close\r\n"), std::string::npos) << received;
    EXPECT_EQ(receivedRequests(), 0U);
}

// Guards against rejecting what the entry can still serve.
TEST_F(entry_stop, requestCompleteLate_timeLimitEndsBefore_served)
{
    start(answersAfter(milliseconds(100)));
    const std::string received = stopWhileSending(requestWithDeadline("/short/x", "200"), lateArrival);
    EXPECT_TRUE(received.starts_with("HTTP/1.1 200 ")) << received;
}

TEST_F(entry_stop, requestCompleteEarly_timeLimitOutlastsTheEntry_served)
{
    start(answersAfter(milliseconds(100)));
    const std::string received = stopWhileSending(requestWithDeadline("/long/x", "8000"), milliseconds(1000));
    EXPECT_TRUE(received.starts_with("HTTP/1.1 200 ")) << received;
}

// Guards against an entry that ends without telling the caller that the request may have run.
TEST_F(entry_stop, runnerAtWorkWhenTheEntryEnds_unknownOutcomeIsTold)
{
    start(isSilent());
    const std::string received = stopWhileSending(requestWithDeadline("/long/x", "8000"), milliseconds(100));
    EXPECT_TRUE(received.starts_with("HTTP/1.1 504 ")) << received;
}

// Guards against callers that reuse a connection to a stopping entry, because no response told them to leave it.
TEST_F(entry_stop, responseAfterTheSignal_announcesTheEndOfItsConnection)
{
    start(respondsWith(200, "ok"));
    EXPECT_EQ(call(request("GET", "/look/x")).fields.count("Connection"), 0U);
    m_entry->stop();
    EXPECT_EQ(call(request("GET", "/look/x")).fields["Connection"], "close");
}

}
