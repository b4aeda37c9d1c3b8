#include "fleet/http_listener.h"
#include "relay/http_request_message.h"
#include "relay/memory_budget.h"
#include "tests/support/port_reservation.h"
#include "tests/support/raw_connection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <future>
#include <string>
#include <thread>
#include <vector>

namespace sardinelb::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The caller's raw view of one connection of a listener whose handler responds as the test specifies.
class server_connection : public testing::Test {
protected:
    using handler = std::function<void(const std::shared_ptr<http_server_connection>&, const http_request_message&)>;

    void listen(handler onRequest)
    {
        http_server_connection::hooks hooks;
        hooks.onRequest = [onRequest = std::move(onRequest)](const std::shared_ptr<http_server_connection>& caller, http_request_message&& message) { onRequest(caller, message); };
        hooks.onRejected = [this](int status, const char*) { m_rejected.push_back(status); };
        m_listener = std::make_shared<http_listener>(m_context.get_executor(), std::move(hooks));
        std::string problem;
        ASSERT_TRUE(m_listener->listen("127.0.0.1:" + std::to_string(m_port), problem)) << problem;
    }

    // Runs `script` as the caller while the listener serves.
    void runCaller(const std::function<void(raw_connection&)>& script)
    {
        auto done = std::async(std::launch::async, [this, &script] {
            raw_connection connection = raw_connection::to(m_port);
            script(connection);
        });
        while (done.wait_for(seconds(0)) != std::future_status::ready)
            m_context.run_one_for(milliseconds(2));
        done.get();
    }

    static std::string request(const std::string& target, const std::string& method = "GET")
    {
        return method + " " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
    }

    boost::asio::io_context m_context;
    std::uint16_t m_port = port_reservation::reserve(1);
    std::shared_ptr<http_listener> m_listener;
    caller_limits m_limits;
    std::vector<int> m_rejected;
};

// Guards against parsing a request with the parser of the one before, which rejects it, while a long response is written.
TEST_F(server_connection, requestArrivesInParts_responseStillBeingWritten_servedNext)
{
    static constexpr std::size_t longBodyBytes = 8388608;
    listen([](const std::shared_ptr<http_server_connection>& caller, const http_request_message& message) {
        caller->respond(200, "", message.target == "/long" ? std::string(longBodyBytes, 'x') : "second");
    });
    runCaller([](raw_connection& connection) {
        connection.send(request("/long"));
        const std::string head = connection.receiveUntil("\r\n\r\n");
        const std::string next = request("/next");
        connection.send(next.substr(0, 10));
        std::this_thread::sleep_for(milliseconds(50));
        connection.send(next.substr(10));
        std::this_thread::sleep_for(milliseconds(50));
        EXPECT_EQ(connection.receiveBytes(longBodyBytes).size(), longBodyBytes);
        EXPECT_EQ(connection.receiveUntil("\r\n"), "HTTP/1.1 200 OK\r\n");
        connection.receiveUntil("\r\n\r\n");
        EXPECT_EQ(connection.receiveBytes(6), "second");
    });
    EXPECT_TRUE(m_rejected.empty());
}

// Guards against serving the bytes of an earlier request once more when the next ones arrive before its response.
TEST_F(server_connection, requestsSentBeforeTheResponse_eachServedOnceInOrder)
{
    std::vector<std::string> served;
    listen([&](const std::shared_ptr<http_server_connection>& caller, const http_request_message& message) {
        served.push_back(message.target);
        auto timer = std::make_shared<boost::asio::steady_timer>(m_context, milliseconds(30));
        timer->async_wait([timer, caller, target = message.target](const boost::system::error_code&) { caller->respond(200, "", target); });
    });
    runCaller([](raw_connection& connection) {
        connection.send(request("/first"));
        std::this_thread::sleep_for(milliseconds(10));
        connection.send(request("/second") + request("/third"));
        connection.receiveUntil("/first");
        connection.receiveUntil("/second");
        connection.receiveUntil("/third");
        connection.send(request("/fourth"));
        connection.receiveUntil("\r\n\r\n");
        EXPECT_EQ(connection.receiveBytes(7), "/fourth");
    });
    EXPECT_EQ(served, (std::vector<std::string> { "/first", "/second", "/third", "/fourth" }));
    EXPECT_TRUE(m_rejected.empty());
}

// Guards against a time limit that a slow but sound caller cannot meet, however small the part that is missing.
TEST_F(server_connection, bodyArrivesSlowly_served)
{
    std::string served;
    listen([&](const std::shared_ptr<http_server_connection>& caller, const http_request_message& message) {
        served = message.body;
        caller->respond(200, "", "done");
    });
    m_limits.bodyStallTimeout = milliseconds(200);
    m_listener->setLimits(m_limits);
    runCaller([](raw_connection& connection) {
        connection.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 6000\r\n\r\n");
        for (int i = 0; i < 6; ++i) {
            connection.send(std::string(1000, 'x'));
            std::this_thread::sleep_for(milliseconds(75));
        }
        EXPECT_EQ(connection.receiveUntil("\r\n"), "HTTP/1.1 200 OK\r\n");
    });
    EXPECT_EQ(served.size(), 6000U);
}

// Guards against a body that is kept for as long as single bytes of it arrive.
TEST_F(server_connection, bodyTrickles_rejected)
{
    listen([](const std::shared_ptr<http_server_connection>& caller, const http_request_message&) { caller->respond(200, "", ""); });
    m_limits.bodyStallTimeout = milliseconds(200);
    m_listener->setLimits(m_limits);
    runCaller([](raw_connection& connection) {
        connection.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 6000\r\n\r\n");
        for (int i = 0; i < 8; ++i) {
            connection.send("x");
            std::this_thread::sleep_for(milliseconds(50));
        }
        EXPECT_EQ(connection.receiveUntil("\r\n"), "HTTP/1.1 408 Request Timeout\r\n");
    });
    EXPECT_EQ(m_rejected, std::vector<int> { 408 });
}

// Guards against a refusal for lack of memory that runs the request, keeps what had arrived of it, or does not say when to return.
TEST_F(server_connection, memoryUsedUp_requestRejectedAndFreed)
{
    listen([](const std::shared_ptr<http_server_connection>& caller, const http_request_message&) { caller->respond(200, "", ""); });
    const auto budget = std::make_shared<memory_budget>(memory_limits { 100000, 10 });
    m_listener->setMemoryBudget(budget);
    runCaller([](raw_connection& connection) {
        connection.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n" + std::string(90000, 'x'));
        EXPECT_EQ(connection.receiveUntil("\r\n"), "HTTP/1.1 503 Service Unavailable\r\n");
        EXPECT_NE(connection.receiveUntil("\r\n\r\n").find("Retry-After: 1\r\n"), std::string::npos);
    });
    EXPECT_EQ(m_rejected, std::vector<int> { 503 });
    EXPECT_EQ(budget->usedBytes(memory_use::Body), 0U);
}

// Guards against a caller whose departure is not noticed because bytes of its next request wait in the socket.
TEST_F(server_connection, memoryUsedUp_callerLeavesDuringResponse_noticed)
{
    const auto budget = std::make_shared<memory_budget>(memory_limits { 100000, 10 });
    const auto other = budget->open([](eviction_reason) {}, time_point {});
    budget->enter(other, memory_budget::stage::Serving, time_point {});
    bool hasLeft = false;
    std::shared_ptr<http_server_connection> served;
    listen([&](const std::shared_ptr<http_server_connection>& caller, const http_request_message&) {
        served = caller;
        caller->setDisconnectHandler([&] { hasLeft = true; });
        budget->charge(other, memory_use::Answer, 100000, time_point {});
    });
    m_listener->setMemoryBudget(budget);
    runCaller([&](raw_connection& connection) {
        connection.send(request("/"));
        std::this_thread::sleep_for(milliseconds(50));
        connection.send("GET /next");
        std::this_thread::sleep_for(milliseconds(50));
    });
    const auto end = std::chrono::steady_clock::now() + seconds(2);
    while (!hasLeft && std::chrono::steady_clock::now() < end)
        m_context.run_one_for(milliseconds(10));
    EXPECT_TRUE(hasLeft);
}

// Guards against responses that are cut because bodies and other responses use the memory, and against large ones that wait for each
// other without end.
TEST_F(server_connection, memoryUsedUp_smallAndLargestResponseCollected)
{
    static constexpr std::size_t mebibyte = 1048576;
    const auto budget = std::make_shared<memory_budget>(memory_limits { mebibyte, 10 });
    const auto other = budget->open([](eviction_reason) {}, time_point {});
    budget->enter(other, memory_budget::stage::Serving, time_point {});
    std::vector<bool> isReserved;
    listen([&](const std::shared_ptr<http_server_connection>& caller, const http_request_message&) {
        budget->charge(other, memory_use::Answer, mebibyte / 2, time_point {});
        budget->charge(other, memory_use::Body, mebibyte / 2, time_point {});
        isReserved.push_back(caller->reserveAnswer(mebibyte / 16));
        isReserved.push_back(caller->reserveAnswer(mebibyte / 4));
        budget->charge(other, memory_use::Answer, 0, time_point {});
        budget->charge(other, memory_use::Body, mebibyte * 13 / 16, time_point {});
        isReserved.push_back(caller->reserveAnswer(mebibyte / 4));
        isReserved.push_back(caller->reserveAnswer(mebibyte / 2));
        caller->respond(200, "", "");
    });
    m_listener->setMemoryBudget(budget);
    runCaller([&](raw_connection& connection) {
        connection.send(request("/"));
        EXPECT_EQ(connection.receiveUntil("\r\n"), "HTTP/1.1 200 OK\r\n");
    });
    EXPECT_EQ(isReserved, (std::vector<bool> { true, false, true, false }));
}

// Guards against a second head in the middle of a response.
TEST_F(server_connection, respond_streamOpen_connectionClosed)
{
    listen([](const std::shared_ptr<http_server_connection>& caller, const http_request_message&) {
        caller->beginStream(200, "");
        caller->sendChunk("part");
        caller->respond(502, "", "error");
    });
    runCaller([](raw_connection& connection) {
        connection.send(request("/"));
        const std::string received = connection.receiveAll();
        EXPECT_EQ(received.find("502"), std::string::npos) << received;
        EXPECT_EQ(received.find("0\r\n\r\n"), std::string::npos) << received;
    });
}

TEST_F(server_connection, beginStream_streamOpen_connectionClosed)
{
    listen([](const std::shared_ptr<http_server_connection>& caller, const http_request_message&) {
        caller->beginStream(200, "");
        caller->beginStream(200, "");
        caller->endStream();
    });
    runCaller([](raw_connection& connection) {
        connection.send(request("/"));
        const std::string received = connection.receiveAll();
        EXPECT_EQ(received.find("HTTP/1.1", 1), std::string::npos) << received;
        EXPECT_EQ(received.find("0\r\n\r\n"), std::string::npos) << received;
    });
}

// Guards against chunks that belong to no response.
TEST_F(server_connection, sendChunk_noStreamOpen_connectionClosedWithoutBytes)
{
    listen([](const std::shared_ptr<http_server_connection>& caller, const http_request_message&) {
        caller->sendChunk("part");
        caller->endStream();
    });
    runCaller([](raw_connection& connection) {
        connection.send(request("/"));
        EXPECT_EQ(connection.receiveAll(), "");
    });
}

// Guards against body bytes after the head of a response to HEAD, which the caller takes for the next response.
TEST_F(server_connection, headRequest_stream_headOnly)
{
    listen([](const std::shared_ptr<http_server_connection>& caller, const http_request_message& message) {
        if (message.method == "GET") {
            caller->respond(200, "", "second");
            return;
        }
        caller->beginStream(200, "");
        caller->sendChunk("part");
        caller->endStream();
    });
    runCaller([](raw_connection& connection) {
        connection.send(request("/", "HEAD"));
        connection.receiveUntil("\r\n\r\n");
        connection.send(request("/"));
        EXPECT_EQ(connection.receiveUntil("\r\n"), "HTTP/1.1 200 OK\r\n");
    });
}

// Guards against a rejection that states a length and has no body because the request before it was a HEAD.
TEST_F(server_connection, malformedRequest_afterHeadRequest_rejectedWithBody)
{
    listen([](const std::shared_ptr<http_server_connection>& caller, const http_request_message&) { caller->respond(200, "", "text"); });
    runCaller([](raw_connection& connection) {
        connection.send(request("/", "HEAD"));
        connection.receiveUntil("\r\n\r\n");
        connection.send("no request\r\n\r\n");
        EXPECT_TRUE(connection.receiveAll().ends_with("malformed HTTP request"));
    });
}

// Guards against a length in a response that has no body by its status (RFC 9110, 8.6).
TEST_F(server_connection, respond_statusWithoutBody_noLengthAndNoBody)
{
    listen([](const std::shared_ptr<http_server_connection>& caller, const http_request_message& message) {
        caller->respond(message.target == "/204" ? 204 : 304, "", "text");
    });
    runCaller([](raw_connection& connection) {
        for (const char* target : { "/204", "/304", "/204" }) {
            connection.send(request(target));
            const std::string head = connection.receiveUntil("\r\n\r\n");
            EXPECT_EQ(head.find("Content-Length"), std::string::npos) << head;
            EXPECT_TRUE(head.starts_with("HTTP/1.1 ")) << head;
        }
    });
}

// Guards against a trailer field of a caller that is too long for the parser, which throws and so ends the process.
TEST_F(server_connection, trailerFieldOf70000Bytes_rejected)
{
    listen([](const std::shared_ptr<http_server_connection>& caller, const http_request_message&) { caller->respond(200, "", ""); });
    const std::string chunked = "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n";
    const std::string longTrailer = chunked + "0\r\nq: " + std::string(70000, 'x') + "\r\n\r\n";
    runCaller([&](raw_connection& connection) {
        connection.send(longTrailer);
        EXPECT_EQ(connection.receiveUntil("\r\n"), "HTTP/1.1 431 Request Header Fields Too Large\r\n");
    });
    EXPECT_EQ(m_rejected, std::vector<int> { 431 });
}

// Guards against the same trailer where all of it has been read ahead while the request before it was served.
TEST_F(server_connection, trailerFieldOf70000Bytes_pipelined_rejected)
{
    listen([this](const std::shared_ptr<http_server_connection>& caller, const http_request_message&) {
        auto timer = std::make_shared<boost::asio::steady_timer>(m_context, milliseconds(100));
        timer->async_wait([timer, caller](const boost::system::error_code&) { caller->respond(200, "", ""); });
    });
    const std::string chunked = "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n";
    runCaller([&](raw_connection& connection) {
        connection.send(request("/first") + chunked + "0\r\nq: " + std::string(70000, 'x') + "\r\n\r\n");
        EXPECT_EQ(connection.receiveUntil("\r\n"), "HTTP/1.1 200 OK\r\n");
        connection.receiveUntil("\r\n\r\n");
        EXPECT_EQ(connection.receiveUntil("\r\n"), "HTTP/1.1 431 Request Header Fields Too Large\r\n");
    });
}

// Guards against a header limit above the longest field that the parser can store.
TEST_F(server_connection, headerFieldOf70000Bytes_limitAllowsIt_rejected)
{
    listen([](const std::shared_ptr<http_server_connection>& caller, const http_request_message&) { caller->respond(200, "", ""); });
    caller_limits limits;
    limits.maxHeaderBytes = 200000;
    m_listener->setLimits(limits);
    runCaller([&](raw_connection& connection) {
        connection.send("GET /x HTTP/1.1\r\nHost: h\r\nX: " + std::string(70000, 'x') + "\r\n\r\n");
        EXPECT_EQ(connection.receiveUntil("\r\n"), "HTTP/1.1 431 Request Header Fields Too Large\r\n");
    });
    runCaller([&](raw_connection& connection) {
        const std::string field = "X: " + std::string(60000, 'x') + "\r\n";
        connection.send("GET /x HTTP/1.1\r\nHost: h\r\n" + field + field + "\r\n");
        EXPECT_EQ(connection.receiveUntil("\r\n"), "HTTP/1.1 200 OK\r\n");
    });
}

}
