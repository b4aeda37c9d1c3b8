#include "expert_map/map_order.h"
#include "expert_map/map_order_result.h"
#include "platform/rank_client.h"
#include "relay/http_call_client.h"
#include "tests/support/scripted_server.h"

#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace sardinelb::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Calls to a service that may send bytes after its answer.
class call_client : public testing::Test {
protected:
    static std::string response(const std::string& body)
    {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    // Answers each request with its target. `extra` follows the first answer on a connection after `delay`.
    void startServer(const std::string& extra, milliseconds delay)
    {
        m_server = std::make_unique<scripted_server>([this, extra, delay](raw_connection& connection) {
            ++m_connections;
            bool isFirst = true;
            while (true) {
                const std::string request = connection.receiveUntil("\r\n\r\n");
                if (!request.ends_with("\r\n\r\n"))
                    return;
                const std::string answer = response(request.substr(4, request.find(' ', 4) - 4));
                if (isFirst && delay == milliseconds(0)) {
                    connection.send(answer + extra);
                } else {
                    connection.send(answer);
                    std::this_thread::sleep_for(isFirst ? delay : milliseconds(0));
                    connection.send(isFirst ? extra : "");
                }
                isFirst = false;
            }
        });
    }

    std::string call(const std::string& target)
    {
        std::string body = "no response";
        bool isEnded = false;
        http_call_client::call request;
        request.address = "127.0.0.1:" + std::to_string(m_server->port());
        request.target = target;
        m_client.start(request, [&](std::optional<http_call_client::reply> reply) {
            if (reply)
                body = reply->body;
            isEnded = true;
        });
        m_context.restart();
        const auto begin = std::chrono::steady_clock::now();
        while (!isEnded && std::chrono::steady_clock::now() - begin < seconds(5))
            m_context.run_one_for(milliseconds(20));
        EXPECT_TRUE(isEnded);
        return body;
    }

    // Answers each call with these bytes and then closes the connection.
    void startServerSending(const std::string& bytes)
    {
        m_server = std::make_unique<scripted_server>([bytes](raw_connection& connection) {
            connection.receiveUntil("\r\n\r\n");
            connection.send(bytes);
        });
    }

    std::atomic<int> m_connections = 0;
    std::unique_ptr<scripted_server> m_server;
    boost::asio::io_context m_context;
    http_call_client m_client { m_context.get_executor() };
};

// Guards against a call that gets the second answer to the call before it.
TEST_F(call_client, answerSentTwiceAtOnce_nextCall_getsItsOwn)
{
    startServer(response("/first"), milliseconds(0));
    EXPECT_EQ(call("/first"), "/first");
    EXPECT_EQ(call("/second"), "/second");
}

TEST_F(call_client, answerSentTwiceLate_nextCall_getsItsOwn)
{
    startServer(response("/first"), milliseconds(20));
    EXPECT_EQ(call("/first"), "/first");
    std::this_thread::sleep_for(milliseconds(100));
    EXPECT_EQ(call("/second"), "/second");
}

TEST_F(call_client, bytesThatAreNoAnswer_nextCall_getsItsOwn)
{
    startServer("\r\nx", milliseconds(20));
    EXPECT_EQ(call("/first"), "/first");
    std::this_thread::sleep_for(milliseconds(100));
    EXPECT_EQ(call("/second"), "/second");
}

// Guards against a new connection for each call.
TEST_F(call_client, oneAnswerEach_nextCall_reusesTheConnection)
{
    startServer("", milliseconds(0));
    EXPECT_EQ(call("/first"), "/first");
    EXPECT_EQ(call("/second"), "/second");
    EXPECT_EQ(m_connections, 1);
}

// Guards against an answer that is none but has a status: its call may have been carried out.
TEST_F(call_client, statusOutOfRange_noResponse)
{
    for (const char* status : { "000", "099", "100", "101", "600", "999" }) {
        startServerSending("HTTP/1.1 " + std::string(status) + " X\r\nContent-Length: 2\r\n\r\nok");
        EXPECT_EQ(call("/first"), "no response") << status;
    }
}

TEST_F(call_client, statusOfAnyAnswer_delivered)
{
    for (const char* status : { "200", "202", "299", "409", "503", "599" }) {
        startServerSending("HTTP/1.1 " + std::string(status) + " X\r\nContent-Length: 2\r\n\r\nok");
        EXPECT_EQ(call("/first"), "ok") << status;
    }
}

// Guards against taking an answer that is none for a runner's refusal, after which its rank counts as not armed or not held.
TEST_F(call_client, orderAnsweredWithStatusOutOfRange_unanswered)
{
    startServerSending("HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n");
    platform::rank_client client(m_context.get_executor(), 1000);
    map_order order;
    order.action = map_order::kind::Arm;
    std::optional<map_order_result> received;
    client.send("127.0.0.1:" + std::to_string(m_server->port()), order, true, [&](map_order_result result) { received = result; });
    const auto begin = std::chrono::steady_clock::now();
    while (!received && std::chrono::steady_clock::now() - begin < seconds(5))
        m_context.run_one_for(milliseconds(20));
    EXPECT_EQ(received, map_order_result::Unanswered);
}

// Guards against taking the bytes of a transfer coding for the body.
TEST_F(call_client, bodyWithATransferCoding_noResponse)
{
    startServerSending("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
    EXPECT_EQ(call("/first"), "no response");
    startServerSending("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
    EXPECT_EQ(call("/first"), "ok");
}

// Guards against a trailer field that is too long for the parser, which throws and so ends the process.
TEST_F(call_client, trailerFieldOf70000Bytes_noResponse)
{
    m_server = std::make_unique<scripted_server>([](raw_connection& connection) {
        connection.receiveUntil("\r\n\r\n");
        connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nq: " + std::string(70000, 'x') + "\r\n\r\n");
        connection.receiveAll();
    });
    EXPECT_EQ(call("/first"), "no response");
}

}
