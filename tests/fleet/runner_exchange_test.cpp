#include "relay/http_response_head.h"
#include "relay/runner_exchange.h"
#include "tests/support/scripted_server.h"

#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace sardinelb::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

// One exchange with a runner that sends given bytes and then closes the connection.
class exchange_with_runner : public testing::Test {
protected:
    struct outcome {
        int status = 0;
        std::size_t heads = 0;
        std::string body;
        runner_exchange::result result = runner_exchange::result::NotConnected;
        bool isEnded = false;
    };

    runner_exchange::hooks hooksFor(outcome& received)
    {
        return {
            [&received](const http_response_head& head) {
                received.status = head.status;
                ++received.heads;
            },
            [&received](std::string_view part) { received.body += part; },
            [&received](runner_exchange::result result) {
                received.result = result;
                received.isEnded = true;
            },
        };
    }

    outcome exchange(const std::string& response, const std::string& method = "GET")
    {
        const scripted_server runner([response](raw_connection& connection) {
            connection.receiveUntil("\r\n\r\n");
            connection.send(response);
            connection.shutdownSend();
            connection.receiveAll();
        });
        outcome received;
        const auto call = std::make_shared<runner_exchange>(m_context.get_executor(), hooksFor(received));
        call->start("127.0.0.1:" + std::to_string(runner.port()), method + " / HTTP/1.1\r\n\r\n");
        runUntilEnded(received);
        return received;
    }

    // Sends a request too long for the buffers of the sockets to a runner that reads only its head, answers at once and then ends the
    // connection as `end` does.
    outcome upload(const std::string& response, const std::function<void(raw_connection&)>& end)
    {
        constexpr std::size_t uploadBytes = std::size_t { 16 } << 20U;
        const scripted_server runner([&](raw_connection& connection) {
            connection.receiveUntil("\r\n\r\n");
            connection.send(response);
            end(connection);
        });
        outcome received;
        const auto call = std::make_shared<runner_exchange>(m_context.get_executor(), hooksFor(received));
        call->start("127.0.0.1:" + std::to_string(runner.port()), "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(uploadBytes) + "\r\n\r\n" + std::string(uploadBytes, 'u'));
        runUntilEnded(received);
        return received;
    }

    void runUntilEnded(const outcome& received)
    {
        m_context.restart();
        const auto begin = std::chrono::steady_clock::now();
        while (!received.isEnded && std::chrono::steady_clock::now() - begin < seconds(5))
            m_context.run_one_for(milliseconds(20));
        EXPECT_TRUE(received.isEnded);
    }

    boost::asio::io_context m_context;
};

// Guards against taking an interim response for the final one.
TEST_F(exchange_with_runner, response_interimHeadsFirst_skipped)
{
    const outcome received = exchange("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    EXPECT_EQ(received.result, runner_exchange::result::Complete);
    EXPECT_EQ(received.heads, 1U);
    EXPECT_EQ(received.status, 200);
    EXPECT_EQ(received.body, "ok");
}

TEST_F(exchange_with_runner, response_onlyInterimHead_broken)
{
    const outcome received = exchange("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
    EXPECT_EQ(received.result, runner_exchange::result::Broken);
    EXPECT_EQ(received.heads, 0U);
}

// Guards against an exchange that a runner keeps busy with interim responses without end.
TEST_F(exchange_with_runner, response_manyInterimHeads_broken)
{
    std::string heads;
    for (int i = 0; i < 1000; ++i)
        heads += "HTTP/1.1 100 Continue\r\n\r\n";
    EXPECT_EQ(exchange(heads + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").result, runner_exchange::result::Broken);
}

// Guards against a status that cannot be forwarded, such as one that asks to switch protocols or has no three digits.
TEST_F(exchange_with_runner, response_statusOutOfRange_broken)
{
    for (const char* status : { "000", "099", "101", "600", "999" }) {
        const outcome received = exchange(std::string("HTTP/1.1 ") + status + " X\r\nContent-Length: 2\r\n\r\nok");
        EXPECT_EQ(received.result, runner_exchange::result::Broken) << status;
        EXPECT_EQ(received.heads, 0U) << status;
    }
}

// Guards against reserving memory for a length that a runner only claims, which ends the process.
TEST_F(exchange_with_runner, contentLength_hugeAndConnectionCloses_broken)
{
    for (const char* length : { "9000000000000000000", "18446744073709551615", "4000000000000" })
        EXPECT_EQ(exchange(std::string("HTTP/1.1 200 OK\r\nContent-Length: ") + length + "\r\n\r\nok").result, runner_exchange::result::Broken) << length;
}

// Guards against delivering the bytes of a transfer coding as the body.
TEST_F(exchange_with_runner, transferEncoding_otherThanChunked_broken)
{
    for (const char* coding : { "gzip", "gzip, chunked", "identity", "chunked, gzip", "chunked, chunked" }) {
        const outcome received = exchange(std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: ") + coding + "\r\n\r\n2\r\nok\r\n0\r\n\r\n");
        EXPECT_EQ(received.result, runner_exchange::result::Broken) << coding;
        EXPECT_EQ(received.heads, 0U) << coding;
    }
}

// Guards against waiting for a body that the response to a HEAD request does not have.
TEST_F(exchange_with_runner, headRequest_responseWithLength_completeWithoutBody)
{
    const outcome received = exchange("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "HEAD");
    EXPECT_EQ(received.result, runner_exchange::result::Complete);
    EXPECT_EQ(received.status, 200);
    EXPECT_EQ(received.body, "");
}

TEST_F(exchange_with_runner, headRequest_chunkedResponse_completeWithoutBody)
{
    EXPECT_EQ(exchange("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "HEAD").result, runner_exchange::result::Complete);
}

// Guards against reading from a connection that is not established, which ends the exchange with an unknown outcome.
TEST_F(exchange_with_runner, resume_beforeConnected_responseComplete)
{
    const scripted_server runner([](raw_connection& connection) {
        connection.receiveUntil("\r\n\r\n");
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    });
    outcome received;
    const auto call = std::make_shared<runner_exchange>(m_context.get_executor(), hooksFor(received));
    call->start("127.0.0.1:" + std::to_string(runner.port()), "GET / HTTP/1.1\r\n\r\n");
    call->resume();
    runUntilEnded(received);
    EXPECT_EQ(received.result, runner_exchange::result::Complete);
    EXPECT_EQ(received.body, "ok");
}

TEST_F(exchange_with_runner, resume_connectionRefused_notConnected)
{
    const scripted_server unreachable;
    outcome received;
    const auto call = std::make_shared<runner_exchange>(m_context.get_executor(), hooksFor(received));
    call->start("127.0.0.1:" + std::to_string(unreachable.port()), "GET / HTTP/1.1\r\n\r\n");
    call->resume();
    runUntilEnded(received);
    EXPECT_EQ(received.result, runner_exchange::result::NotConnected);
}

// Guards against calling a request not sent that has been sent, when the loop is delayed for longer than the time for connecting.
TEST_F(exchange_with_runner, loopDelayed_connectedInTime_responseDelivered)
{
    const scripted_server runner([](raw_connection& connection) {
        connection.receiveUntil("\r\n\r\n");
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    });
    outcome received;
    const auto call = std::make_shared<runner_exchange>(m_context.get_executor(), hooksFor(received));
    call->start("127.0.0.1:" + std::to_string(runner.port()), "GET / HTTP/1.1\r\n\r\n");
    std::this_thread::sleep_for(milliseconds(400));
    runUntilEnded(received);
    EXPECT_EQ(received.result, runner_exchange::result::Complete);
    EXPECT_EQ(received.body, "ok");
}

// Guards against taking the end of a connection for the end that a length or chunks state.
TEST_F(exchange_with_runner, response_unframedAndConnectionCloses_endedByClose)
{
    for (const char* body : { "", "ok" }) {
        const outcome received = exchange(std::string("HTTP/1.1 200 OK\r\n\r\n") + body);
        EXPECT_EQ(received.result, runner_exchange::result::EndedByClose);
        EXPECT_EQ(received.body, body);
    }
    EXPECT_EQ(exchange("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").result, runner_exchange::result::Complete);
    EXPECT_EQ(exchange("HTTP/1.1 204 No Content\r\n\r\n").result, runner_exchange::result::Complete);
    EXPECT_EQ(exchange("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n").result, runner_exchange::result::Complete);
}

// Guards against a part of a response that looks whole: the reset fails the write of the upload first, and the read after it sees the
// end of the connection in place of an error.
TEST_F(exchange_with_runner, upload_unframedResponseThenReset_broken)
{
    const std::string response = "HTTP/1.1 200 OK\r\n\r\nhalf of";
    const auto pause = [] { std::this_thread::sleep_for(milliseconds(100)); };
    EXPECT_EQ(upload(response, [](raw_connection& connection) { connection.reset(); }).result, runner_exchange::result::Broken);
    const outcome late = upload(response, [&](raw_connection& connection) {
        pause();
        connection.reset();
    });
    EXPECT_EQ(late.result, runner_exchange::result::Broken);
    EXPECT_EQ(late.body, "half of");
    // A close with unread bytes resets the connection, too.
    EXPECT_EQ(upload(response, [&](raw_connection&) { pause(); }).result, runner_exchange::result::Broken);
}

// Guards against refusing a whole response whose runner has not read the upload: its end arrives before the reset.
TEST_F(exchange_with_runner, upload_unframedResponseEndsThenReset_endedByClose)
{
    const std::string response = "HTTP/1.1 200 OK\r\n\r\nall of it";
    for (const milliseconds pause : { milliseconds(0), milliseconds(100) }) {
        const outcome received = upload(response, [&](raw_connection& connection) {
            connection.shutdownSend();
            std::this_thread::sleep_for(pause);
            connection.reset();
        });
        EXPECT_EQ(received.result, runner_exchange::result::EndedByClose) << pause.count();
        EXPECT_EQ(received.body, "all of it");
    }
}

// Guards against refusing a response that is whole by its framing because the upload could not be written.
TEST_F(exchange_with_runner, upload_framedResponseThenReset_complete)
{
    for (const char* framed : { "Content-Length: 9\r\n\r\nall of it", "Transfer-Encoding: chunked\r\n\r\n9\r\nall of it\r\n0\r\n\r\n" }) {
        const outcome received = upload(std::string("HTTP/1.1 200 OK\r\n") + framed, [](raw_connection& connection) { connection.reset(); });
        EXPECT_EQ(received.result, runner_exchange::result::Complete) << framed;
        EXPECT_EQ(received.body, "all of it");
    }
}

// Guards against responses that end early, or whose framing is contradictory, and look complete.
TEST_F(exchange_with_runner, framing_wrong_broken)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::vector<std::string> responses {
        "",
        "HTTP/1.1 200 OK\r\nX: y\r\n",
        head + "Content-Length: 5\r\n\r\nok",
        head + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok!",
        head + "Content-Length: -1\r\n\r\nok",
        head + "Content-Length: x\r\n\r\nok",
        head + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        head + "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
        head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
        head + "Transfer-Encoding: chunked\r\n\r\n-2\r\nok\r\n0\r\n\r\n",
        head + "Transfer-Encoding: chunked\r\n\r\nxyz\r\nok\r\n0\r\n\r\n",
        head + "Transfer-Encoding: chunked\r\n\r\n2\r\nokay\r\n0\r\n\r\n",
        head + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\nok\r\n0\r\n\r\n",
        head + "Transfer-Encoding: chunked\r\n\r\n2\nok\n0\n\n",
        "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
        "HTTP/1.1 200 OK\r\nX: " + std::string(65536, 'x') + "\r\nContent-Length: 2\r\n\r\nok",
        std::string("HTTP/1.1 200 OK\r\nX: a\0b\r\nContent-Length: 2\r\n\r\nok", 47),
        "HTTP/3.7 200 OK\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nok",
        "ICY 200 OK\r\nContent-Length: 2\r\n\r\nok",
        std::string(100, '\0'),
    };
    for (const std::string& response : responses)
        EXPECT_EQ(exchange(response).result, runner_exchange::result::Broken) << response.substr(0, 200);
}

// Guards against a field line that is no field: one that begins with a blank would be joined to the line before it, so that a length is
// not seen and the body has other bytes.
TEST_F(exchange_with_runner, fieldName_blankOrControlByte_broken)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string body = "Content-Length: 2\r\n\r\nok";
    const std::vector<std::string> responses {
        head + "Bad Name: x\r\n" + body,
        head + "Bad\tName: x\r\n" + body,
        head + "Name : x\r\n" + body,
        head + "Name\t: x\r\n" + body,
        head + "Content-Length : 2\r\n\r\nok",
        head + "Content-Length\t: 2\r\n\r\nok",
        head + " Content-Length: 2\r\n\r\nok",
        head + "\tContent-Length: 2\r\n\r\nok",
        head + "X: y\r\n Content-Length: 2\r\n\r\nok",
        head + "X: y\r\n\tContent-Length: 2\r\n\r\nok",
        head + "X: y\r\n Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        head + "X: y\r\n more\r\n" + body,
        head + "X:\r\n y\r\n" + body,
        head + "Content-Length: 2\r\n \r\n\r\nok",
        head + "Content-Length: 2\r\n\t\r\nX: y\r\n\r\nok",
        head + "Na\x01me: x\r\n" + body,
        head + "\x1bName: x\r\n" + body,
        head + "Na\x7fme: x\r\n" + body,
        head + std::string("Na\0me: x\r\n", 10) + body,
        head + "Na\rme: x\r\n" + body,
        head + "N\xc3\xa4me: x\r\n" + body,
        head + ": x\r\n" + body,
        head + "Name\r\n" + body,
        "HTTP/1.1 103 Early Hints\r\nX: y\r\n Link: z\r\n\r\n" + head + body,
    };
    for (const std::string& response : responses) {
        const outcome received = exchange(response);
        EXPECT_EQ(received.result, runner_exchange::result::Broken) << response;
        EXPECT_EQ(received.heads, 0U) << response;
    }
}

// Guards against refusing fields whose names and values are unusual and allowed.
TEST_F(exchange_with_runner, field_unusualAndAllowed_complete)
{
    for (const char* line : { "x!#$%&'*+-.^_`|~9: y", "X:y", "X: \t y \t ", "X:", "X: a  b\tc", "X: \xc3\xa4", "X: y: z" }) {
        const outcome received = exchange(std::string("HTTP/1.1 200 OK\r\n") + line + "\r\nContent-Length: 11\r\n\r\nok\r\n X: y\r\n");
        EXPECT_EQ(received.result, runner_exchange::result::Complete) << line;
        EXPECT_EQ(received.body, "ok\r\n X: y\r\n") << line;
    }
}

// Guards against counting the bytes after a complete response to its body.
TEST_F(exchange_with_runner, response_secondOneFollows_onlyFirstDelivered)
{
    const std::string second = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother";
    EXPECT_EQ(exchange("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" + second).body, "ok");
    EXPECT_EQ(exchange("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nok\r\n0\r\nX: y\r\n\r\n" + second).body, "ok");
    EXPECT_EQ(exchange("HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\nok" + second).body, "");
}

// Guards against trailer fields that are too long for the parser, which throws and so ends the process.
TEST_F(exchange_with_runner, trailer_fieldOf70000Bytes_broken)
{
    const std::string beginning = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n";
    for (const std::size_t length : { 16384U, 65534U, 70000U, 1000000U })
        EXPECT_EQ(exchange(beginning + "0\r\nq: " + std::string(length, 'x') + "\r\n\r\n").result, runner_exchange::result::Broken) << length;
}

// Guards against rejecting the trailer fields and chunk extensions of a sound runner.
TEST_F(exchange_with_runner, trailer_severalFieldsAndChunkExtension_complete)
{
    const std::string field = "X: " + std::string(1000, 'x') + "\r\n";
    const outcome received = exchange("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=" + std::string(1000, 'b') + "\r\nok\r\n0\r\n" + field + field + "\r\n");
    EXPECT_EQ(received.result, runner_exchange::result::Complete);
    EXPECT_EQ(received.body, "ok");
}

// Guards against taking a head that a runner broke off for that of a whole answer with an empty or a short body.
TEST_F(exchange_with_runner, head_brokenOffAtAnyByte_broken)
{
    const std::vector<std::string> heads {
        "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nContent-Length: 2\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\r\n",
        "HTTP/1.0 200 OK\r\nServer-Seal: s.1\r\n\r\n",
    };
    for (const std::string& head : heads) {
        for (std::size_t length = 0; length < head.size(); ++length) {
            const outcome received = exchange(head.substr(0, length));
            EXPECT_EQ(received.result, runner_exchange::result::Broken) << head.substr(0, length);
            EXPECT_EQ(received.heads, 0U) << head.substr(0, length);
        }
    }
}

}
