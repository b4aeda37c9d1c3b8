#include "transport/http_server.h"

#include "tests/support/event_wait.h"
#include "tests/support/net_fixture.h"
#include "tests/support/raw_connection.h"
#include "transport/http_exchange.h"
#include "transport/socket_address.h"

#include <gtest/gtest.h>

#include <deque>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace sardinelb {

namespace {

// A server whose handler echoes the request body, or leaves the response to the test if `holdAnswers` is set.
class http_server_test : public testing::Test {
protected:
    ~http_server_test() override
    {
        net.run([this] {
            held.clear();
            server.reset();
            return 0;
        });
    }

    raw_connection connect(int receiveBufferBytes = 0)
    {
        if (!server) {
            server = std::make_unique<http_server>(
                net.net(), limits, [this](const std::shared_ptr<http_exchange>& exchange) { handle(exchange); },
                [](int status, const std::string& explanation) {
                    return "refused " + std::to_string(status) + ": " + explanation;
                });
            port = net.run([this] { return server->listen({ "127.0.0.1", 0 }).value(); });
        }
        return raw_connection::to(port, receiveBufferBytes);
    }

    static std::string post(const std::string& body, const std::string& headers = "")
    {
        return "POST /echo HTTP/1.1\r\nHost: x\r\n" + headers + "Content-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
    }

    // Reads one response with a Content-Length.
    static std::string readAnswer(raw_connection& connection)
    {
        const std::string head = connection.receiveUntil("\r\n\r\n");
        const auto field = head.find("Content-Length: ");
        const std::size_t length = field == std::string::npos ? 0 : std::stoul(head.substr(field + 16));
        return head + connection.receiveBytes(length);
    }

    static bool has(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

    // Waits until the handler has received this many requests.
    bool waitForRequests(std::size_t count)
    {
        return events.until([this, count] { return requests.size() >= count; });
    }

    void handle(const std::shared_ptr<http_exchange>& exchange)
    {
        exchange->onClosed = [this] { events.change([this] { ++closed; }); };
        if (holdAnswers)
            held.push_back(exchange);
        events.change([this, &exchange] { requests.push_back(exchange->request().body); });
        if (!holdAnswers)
            exchange->respond(200, "text/plain", "echo " + exchange->request().body);
    }

    net_fixture net;
    event_wait events;
    http_limits limits;
    std::unique_ptr<http_server> server;
    std::uint16_t port = 0;
    bool holdAnswers = false;
    // Used only on the network thread.
    std::deque<std::shared_ptr<http_exchange>> held;
    // Guarded by `events`.
    std::vector<std::string> requests;
    int closed = 0;
};

TEST_F(http_server_test, keptConnectionServesSeveralRequests)
{
    auto connection = connect();
    for (const char* body : { "one", "two", "" }) {
        connection.send(post(body));
        const std::string answer = readAnswer(connection);
        EXPECT_TRUE(has(answer, "200 OK")) << answer;
        EXPECT_TRUE(answer.ends_with(std::string("echo ") + body)) << answer;
    }
}

// Guards against a request that is lost or answered out of order when several arrive together.
TEST_F(http_server_test, pipelinedRequestsAreAnsweredInOrder)
{
    auto connection = connect();
    connection.send(post("one") + post("two") + post("three", "Connection: close\r\n"));
    const std::string answers = connection.receiveAll();
    const auto one = answers.find("echo one");
    const auto two = answers.find("echo two");
    const auto three = answers.find("echo three");
    EXPECT_LT(one, two);
    EXPECT_LT(two, three);
    EXPECT_NE(three, std::string::npos);
}

// Guards against a body in the response to HEAD, which the client would take as the start of the next response.
TEST_F(http_server_test, headAnswerHasNoBody)
{
    auto connection = connect();
    connection.send("HEAD /echo HTTP/1.1\r\nHost: x\r\n\r\n" + post("next"));
    const std::string head = connection.receiveUntil("\r\n\r\n");
    EXPECT_TRUE(has(head, "200 OK")) << head;
    EXPECT_TRUE(readAnswer(connection).starts_with("HTTP/1.1 200 OK"));
}

TEST_F(http_server_test, oversizeHeaderIsRefused)
{
    auto connection = connect();
    connection.send("GET / HTTP/1.1\r\nX: " + std::string(limits.maxHeaderBytes, 'x') + "\r\n\r\n");
    const std::string answer = connection.receiveAll();
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 431")) << answer;
    EXPECT_TRUE(has(answer, "refused 431: the request header exceeds the limit")) << answer;
}

// Guards against a trailer field that is too long for the parser, which throws and so ends the session without a response.
TEST_F(http_server_test, oversizeTrailerIsRefused)
{
    auto connection = connect();
    connection.send("POST /echo HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nq: " + std::string(70000, 'x') + "\r\n\r\n");
    EXPECT_TRUE(connection.receiveAll().starts_with("HTTP/1.1 431"));
    EXPECT_TRUE(events.read(requests).empty());
}

TEST_F(http_server_test, oversizeBodyIsRefusedWhetherOrNotItsLengthIsGiven)
{
    const std::string body(limits.maxBodyBytes + 1, 'x');
    auto withContentLength = connect();
    withContentLength.send(post(body));
    EXPECT_TRUE(withContentLength.receiveAll().starts_with("HTTP/1.1 413"));
    auto chunked = connect();
    chunked.send("POST /echo HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n80001\r\n" + body + "\r\n0\r\n\r\n");
    EXPECT_TRUE(chunked.receiveAll().starts_with("HTTP/1.1 413"));
    EXPECT_TRUE(events.read(requests).empty());
}

TEST_F(http_server_test, otherProtocolsAreRefused)
{
    for (const char* bytes : { "SSH-2.0-x\r\n\r\n", "\x16\x03\x01\x02\x01\x01\r\n\r\n", "GET /\r\n\r\n",
             "POST /echo HTTP/1.1\r\nContent-Length: x\r\n\r\n", "POST /echo HTTP/1.1\r\nContent-Length: -1\r\n\r\n" }) {
        auto connection = connect();
        connection.send(bytes);
        EXPECT_TRUE(connection.receiveAll().starts_with("HTTP/1.1 400")) << bytes;
    }
    EXPECT_TRUE(events.read(requests).empty());
}

// Guards against request smuggling: with two lengths, a proxy before the entry could read the request differently
// from the entry.
TEST_F(http_server_test, conflictingLengthsAreRefused)
{
    auto connection = connect();
    connection.send("POST /echo HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd");
    EXPECT_TRUE(connection.receiveAll().starts_with("HTTP/1.1 400"));
    EXPECT_TRUE(events.read(requests).empty());
}

TEST_F(http_server_test, truncatedBodyIsNotARequest)
{
    auto connection = connect();
    connection.send("POST /echo HTTP/1.1\r\nContent-Length: 10\r\n\r\n{\"a\":");
    connection.shutdownSend();
    connection.receiveAll();
    EXPECT_TRUE(events.read(requests).empty());
}

// Guards against clients that occupy a connection with a request that never ends.
TEST_F(http_server_test, requestThatDoesNotArriveInTimeIsRefused)
{
    limits.requestTimeout = std::chrono::milliseconds(50);
    auto connection = connect();
    connection.send("POST /echo HTTP/1.1\r\nContent-Le");
    EXPECT_TRUE(connection.receiveAll().starts_with("HTTP/1.1 408"));
}

TEST_F(http_server_test, idleConnectionIsClosed)
{
    limits.idleTimeout = std::chrono::milliseconds(50);
    auto connection = connect();
    EXPECT_EQ(connection.receiveAll(), "");
}

TEST_F(http_server_test, connectionOverTheLimitIsClosed)
{
    limits.maxConnections = 1;
    auto first = connect();
    first.send(post("one"));
    readAnswer(first);
    auto second = connect();
    EXPECT_EQ(second.receiveAll(), "");
    first.send(post("two"));
    EXPECT_TRUE(readAnswer(first).ends_with("echo two"));
}

// Guards against work that continues for a client that has disconnected.
TEST_F(http_server_test, callerThatLeavesBeforeTheAnswerIsNoticed)
{
    holdAnswers = true;
    auto connection = connect();
    connection.send(post("one"));
    ASSERT_TRUE(waitForRequests(1));
    connection.close();
    EXPECT_TRUE(events.until([this] { return closed == 1; }));
}

// A client that closes only its sending side cannot be distinguished from one that has disconnected, so it counts as
// gone.
TEST_F(http_server_test, halfOpenCallerCountsAsGone)
{
    holdAnswers = true;
    auto connection = connect();
    connection.send(post("one"));
    ASSERT_TRUE(waitForRequests(1));
    connection.shutdownSend();
    EXPECT_TRUE(events.until([this] { return closed == 1; }));
    EXPECT_EQ(connection.receiveAll(), "");
}

TEST_F(http_server_test, callerThatLeavesMidStreamIsNoticed)
{
    holdAnswers = true;
    auto connection = connect();
    connection.send(post("one"));
    ASSERT_TRUE(waitForRequests(1));
    net.run([this] {
        held.front()->startStream(200, "text/event-stream");
        held.front()->write("data: 1\n\n");
        return 0;
    });
    connection.receiveUntil("data: 1\n\n");
    connection.close();
    EXPECT_TRUE(events.until([this] { return closed == 1; }));
}

// Guards against an aborted response that looks complete: the last chunk must be missing.
TEST_F(http_server_test, abortedStreamHasNoEnd)
{
    holdAnswers = true;
    auto connection = connect();
    connection.send(post("one"));
    ASSERT_TRUE(waitForRequests(1));
    net.run([this] {
        held.front()->startStream(200, "text/event-stream");
        held.front()->write("data: 1\n\n");
        held.front()->abort();
        return 0;
    });
    const std::string answer = connection.receiveAll();
    EXPECT_TRUE(has(answer, "data: 1")) << answer;
    EXPECT_FALSE(has(answer, "\r\n0\r\n")) << answer;
}

// Guards against the head of an error within a stream that has begun, and against a stream that looks complete after it.
TEST_F(http_server_test, responseWithinAStreamAbortsIt)
{
    holdAnswers = true;
    auto connection = connect();
    connection.send(post("one"));
    ASSERT_TRUE(waitForRequests(1));
    net.run([this] {
        held.front()->startStream(200, "text/event-stream");
        held.front()->write("data: 1\n\n");
        held.front()->respond(502, "application/json", "{}");
        held.front()->startStream(200, "text/event-stream");
        held.front()->finish();
        return 0;
    });
    const std::string answer = connection.receiveAll();
    EXPECT_TRUE(has(answer, "data: 1")) << answer;
    EXPECT_FALSE(has(answer, "502")) << answer;
    EXPECT_FALSE(has(answer, "\r\n0\r\n")) << answer;
}

// Guards against a second response that is taken for that of the next request on the connection.
TEST_F(http_server_test, secondResponseIsNotWritten)
{
    holdAnswers = true;
    auto connection = connect();
    connection.send(post("one") + post("two"));
    ASSERT_TRUE(waitForRequests(1));
    net.run([this] {
        held.front()->respond(200, "text/plain", "first");
        held.front()->respond(200, "text/plain", "again");
        return 0;
    });
    EXPECT_TRUE(has(readAnswer(connection), "first"));
    ASSERT_TRUE(waitForRequests(2));
    net.run([this] {
        held.front()->respond(200, "text/plain", "late");
        held.back()->respond(200, "text/plain", "second");
        return 0;
    });
    EXPECT_TRUE(has(readAnswer(connection), "second"));
}

// Guards against unbounded buffering for a slow reader: a handler that waits for onWritten() has only as much output
// pending as the operating system accepts, and continues when the client reads.
TEST_F(http_server_test, slowReaderHoldsBackTheHandler)
{
    constexpr std::size_t blockBytes = std::size_t { 256 } * 1024;
    constexpr int blocks = 64;
    holdAnswers = true;
    auto connection = connect(4096);
    connection.send(post("one"));
    ASSERT_TRUE(waitForRequests(1));
    int written = 0;
    net.run([&] {
        http_exchange& exchange = *held.front();
        exchange.startStream(200, "text/plain");
        exchange.onWritten = [&, sent = 1](std::size_t) mutable {
            events.change([&] { ++written; });
            if (sent++ < blocks)
                exchange.write(std::string(blockBytes, 'x'));
            else
                exchange.finish();
        };
        exchange.write(std::string(blockBytes, 'x'));
        return 0;
    });
    // 16 MiB exceed the socket buffers, so the last block is not written before the client reads.
    EXPECT_LT(events.read(written), blocks);
    const std::string answer = connection.receiveUntil("\r\n0\r\n\r\n");
    EXPECT_GT(answer.size(), blocks * blockBytes);
    EXPECT_EQ(events.read(written), blocks);
}

TEST_F(http_server_test, callerThatNeverReadsIsDropped)
{
    limits.writeTimeout = std::chrono::milliseconds(50);
    holdAnswers = true;
    auto connection = connect(4096);
    connection.send(post("one"));
    ASSERT_TRUE(waitForRequests(1));
    net.run([this] {
        held.front()->startStream(200, "text/plain");
        held.front()->write(std::string(std::size_t { 32 } * 1024 * 1024, 'x'));
        return 0;
    });
    EXPECT_TRUE(events.until([this] { return closed == 1; }));
}

// Guards against a graceful shutdown that interrupts a request in flight.
TEST_F(http_server_test, requestInFlightIsAnsweredWhileDraining)
{
    holdAnswers = true;
    auto connection = connect();
    connection.send(post("one"));
    ASSERT_TRUE(waitForRequests(1));
    net.run([this] {
        server->drain();
        held.front()->respond(200, "text/plain", "late");
        return 0;
    });
    const std::string answer = connection.receiveAll();
    EXPECT_TRUE(answer.ends_with("late")) << answer;
    EXPECT_TRUE(has(answer, "Connection: close")) << answer;
}

// Guards against resetting a connection whose request has already arrived.
TEST_F(http_server_test, requestThatHasArrivedIsAnsweredWhileDraining)
{
    auto connection = connect();
    connection.send(post("one"));
    readAnswer(connection);
    net.run([this, &connection] {
        connection.send(post("two"));
        server->drain();
        return 0;
    });
    const std::string answer = connection.receiveAll();
    EXPECT_TRUE(answer.ends_with("echo two")) << answer;
}

// Guards against resetting a new connection before its first request is read.
TEST_F(http_server_test, newConnectionIsServedOnceWhileDraining)
{
    limits.firstRequestTimeout = std::chrono::seconds(30);
    connect().close();
    std::optional<raw_connection> connection;
    net.run([&] {
        connection.emplace(raw_connection::to(port));
        server->drain();
        return 0;
    });
    connection->send(post("one"));
    const std::string answer = connection->receiveAll();
    EXPECT_TRUE(answer.ends_with("echo one")) << answer;
}

TEST_F(http_server_test, idleConnectionIsClosedWhenDraining)
{
    auto connection = connect();
    connection.send(post("one"));
    readAnswer(connection);
    bool empty = false;
    while (!empty) {
        net.run([&] {
            server->drain();
            empty = server->connections() == 0;
            return 0;
        });
    }
    EXPECT_EQ(connection.receiveAll(), "");
    EXPECT_THROW(raw_connection::to(port), std::runtime_error);
}

// Guards against clients that send on a connection which is about to close: the previous response must announce the
// close.
TEST_F(http_server_test, answersAnnounceThatTheConnectionCloses)
{
    auto connection = connect();
    connection.send(post("one"));
    EXPECT_FALSE(has(readAnswer(connection), "Connection: close"));
    net.run([this] {
        server->closeAfterResponses();
        return 0;
    });
    connection.send(post("two"));
    const std::string answer = connection.receiveAll();
    EXPECT_TRUE(has(answer, "Connection: close")) << answer;
    EXPECT_TRUE(answer.ends_with("echo two")) << answer;
    auto later = connect();
    later.send(post("three"));
    EXPECT_TRUE(has(later.receiveAll(), "Connection: close"));
}

}

}
