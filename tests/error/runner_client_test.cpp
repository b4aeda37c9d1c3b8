#include "transport/runner_client.h"

#include "tests/support/event_wait.h"
#include "tests/support/net_fixture.h"
#include "tests/support/scripted_server.h"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <limits>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace sardinelb {

namespace {

std::string nameOf(call_failure failure)
{
    switch (failure) {
    case call_failure::Unreachable:
        return "unreachable";
    case call_failure::NotExecuted:
        return "not_sent";
    case call_failure::Broken:
        break;
    }
    return "broken";
}

const std::string streamHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

const std::string oversizeTrailer = "0\r\nq: " + std::string(70000, 'x') + "\r\n\r\n";

std::string chunk(const std::string& bytes)
{
    std::string size;
    for (std::size_t rest = bytes.size(); rest > 0; rest /= 16)
        size.insert(size.begin(), "0123456789abcdef"[rest % 16]);
    return size + "\r\n" + bytes + "\r\n";
}

std::string tokenLine(int index)
{
    return R"({"index":)" + std::to_string(index) + R"(,"token":"t"})" + "\n";
}

const std::string doneLine = R"({"done":true,"usage":{"prompt_tokens":3,"completion_tokens":2}})"
                             "\n";

// One call to a scripted runner and its outcome.
class runner_client_test : public testing::Test {
protected:
    ~runner_client_test() override
    {
        net.run([this] {
            client.reset();
            return 0;
        });
    }

    // Makes the call and returns its outcome: "failed unreachable", "failed not_sent", "failed broken",
    // "completed 3+2" or "answered 200 body".
    std::string call(const scripted_server& server, pool_kind kind = pool_kind::Model)
    {
        runner_client::hooks hooks;
        hooks.onTokens = [this](const attempt_id&, std::uint32_t, std::uint32_t, std::uint32_t count,
                             const std::string&) { events.change([&] { tokens += count; }); };
        hooks.onServiceAnswer = [this](const attempt_id&, std::uint32_t, int status, const std::string&,
                                    const std::string& body) { recordOutcome("answered " + std::to_string(status) + " " + body); };
        hooks.onCallCompleted = [this](const attempt_id&, std::uint32_t, const token_usage& usage) {
            recordOutcome("completed " + std::to_string(usage.promptTokens.value()) + "+"
                + std::to_string(usage.completionTokens.value()));
        };
        hooks.onCallFailed = [this](const attempt_id&, std::uint32_t, call_failure failure, const std::string&) {
            recordOutcome("failed " + nameOf(failure));
        };
        hooks.onProbeResult = [](bool) {};
        hooks.isBehind = [this] { return tokens >= tokensUntilBehind; };
        client = std::make_unique<runner_client>(
            net.net(), socket_address { "127.0.0.1", server.port() }, std::move(hooks));
        start_call_action action;
        action.submit.attempt = { request_id("r"), 1 };
        action.submit.kind = kind;
        action.submit.method = method;
        action.submit.target = "/bookings";
        action.submit.body = std::string(uploadBytes, 'u');
        action.submit.maxTokens = maxTokens;
        action.call = 1;
        net.run([&] {
            client->start(action);
            return 0;
        });
        events.until([this] { return !outcomes.empty(); });
        // Lets the network thread finish, so that an erroneous second outcome is also counted.
        net.run([] { return 0; });
        const auto all = events.read(outcomes);
        return all.size() == 1 ? all.front() : std::to_string(all.size()) + " ends";
    }

    // Makes the call to a runner that reads the request and responds with these bytes.
    std::string callRespondingWith(const std::string& bytes, pool_kind kind = pool_kind::Model)
    {
        const scripted_server server([&](raw_connection& connection) {
            connection.receiveUntil("\r\n\r\n");
            connection.send(bytes);
            connection.shutdownSend();
            connection.receiveAll();
        });
        return call(server, kind);
    }

    void recordOutcome(const std::string& text)
    {
        events.change([&] { outcomes.push_back(text); });
    }

    net_fixture net;
    event_wait events;
    std::unique_ptr<runner_client> client;
    std::string method = "POST";
    std::size_t uploadBytes = 0;
    std::uint32_t maxTokens = 2;
    // The client is told that it is behind once it has read so many tokens.
    std::atomic<std::uint32_t> tokensUntilBehind { std::numeric_limits<std::uint32_t>::max() };
    // Guarded by `events`.
    std::vector<std::string> outcomes;
    std::atomic<std::uint32_t> tokens { 0 };
};

TEST_F(runner_client_test, wholeStreamCompletes)
{
    EXPECT_EQ(callRespondingWith(streamHead + chunk(tokenLine(0)) + chunk(tokenLine(1) + doneLine) + "0\r\n\r\n"),
        "completed 3+2");
    EXPECT_EQ(tokens, 2U);
}

TEST_F(runner_client_test, lineAcrossTwoChunksIsPutTogether)
{
    const std::string line = tokenLine(0);
    EXPECT_EQ(callRespondingWith(streamHead + chunk(line.substr(0, 5)) + chunk(line.substr(5) + doneLine)), "completed 3+2");
    EXPECT_EQ(tokens, 1U);
}

// Guards against taking a head that a service broke off for that of a whole answer with an empty body.
TEST_F(runner_client_test, headBrokenOffAtAnyByteIsBroken)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n";
    for (std::size_t length = 0; length < head.size(); ++length) {
        outcomes.clear();
        EXPECT_EQ(callRespondingWith(head.substr(0, length), pool_kind::Service), "failed broken") << head.substr(0, length);
    }
}

TEST_F(runner_client_test, headOfAStreamBrokenOffAtAnyByteIsBroken)
{
    for (std::size_t length = 0; length <= streamHead.size(); ++length) {
        outcomes.clear();
        EXPECT_EQ(callRespondingWith(streamHead.substr(0, length)), "failed broken") << streamHead.substr(0, length);
    }
}

// Guards against a trailer field that is too long for the parser: it throws, and the call would end without an outcome.
TEST_F(runner_client_test, oversizeTrailerOfAServiceIsBroken)
{
    EXPECT_EQ(callRespondingWith(streamHead + chunk("ok") + oversizeTrailer, pool_kind::Service), "failed broken");
}

TEST_F(runner_client_test, oversizeTrailerOfAStreamIsBroken)
{
    EXPECT_EQ(callRespondingWith(streamHead + chunk(tokenLine(0)) + oversizeTrailer), "failed broken");
}

// Only a refused connection proves that the runner did not receive the call.
TEST_F(runner_client_test, refusedConnectionIsNotSent)
{
    const scripted_server server;
    EXPECT_EQ(call(server), "failed unreachable");
}

TEST_F(runner_client_test, refusedConnectionToAServiceIsNotSent)
{
    const scripted_server server;
    EXPECT_EQ(call(server, pool_kind::Service), "failed unreachable");
}

// Guards against reporting a booking as not run although it ran.
TEST_F(runner_client_test, serviceThatClosesBeforeItsAnswerIsBroken)
{
    EXPECT_EQ(callRespondingWith("", pool_kind::Service), "failed broken");
}

TEST_F(runner_client_test, serviceThatClosesWithinItsAnswerIsBroken)
{
    EXPECT_EQ(callRespondingWith("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", pool_kind::Service), "failed broken");
}

TEST_F(runner_client_test, serviceThatClosesAfterItsAnswerIsAnswered)
{
    EXPECT_EQ(callRespondingWith("HTTP/1.1 201 Created\r\nContent-Length: 4\r\n\r\ndone", pool_kind::Service),
        "answered 201 done");
}

TEST_F(runner_client_test, serviceThatDoesNotSpeakHttpIsBroken)
{
    EXPECT_EQ(callRespondingWith("SSH-2.0-x\r\n\r\n", pool_kind::Service), "failed broken");
}

// Guards against unbounded buffering of a runner's response.
TEST_F(runner_client_test, oversizeServiceAnswerIsBroken)
{
    EXPECT_EQ(callRespondingWith("HTTP/1.1 200 OK\r\nContent-Length: 4194305\r\n\r\n", pool_kind::Service), "failed broken");
}

TEST_F(runner_client_test, modelThatClosesBeforeItsAnswerIsBroken)
{
    EXPECT_EQ(callRespondingWith(""), "failed broken");
}

TEST_F(runner_client_test, modelThatClosesWithinItsStreamIsBroken)
{
    EXPECT_EQ(callRespondingWith(streamHead + chunk(tokenLine(0))), "failed broken");
}

// Guards against treating a stream without its last line as complete.
TEST_F(runner_client_test, streamThatEndsWithoutDoneIsBroken)
{
    EXPECT_EQ(callRespondingWith(streamHead + chunk(tokenLine(0) + tokenLine(1)) + "0\r\n\r\n"), "failed broken");
}

TEST_F(runner_client_test, modelThatClosesAfterItsLastLineCompletes)
{
    EXPECT_EQ(callRespondingWith(streamHead + chunk(tokenLine(0) + tokenLine(1) + doneLine)), "completed 3+2");
}

TEST_F(runner_client_test, modelThatRefusesIsNotSent)
{
    EXPECT_EQ(callRespondingWith("HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"), "failed not_sent");
}

// Guards against taking an interim response for the answer: the caller would get a head that is no answer.
TEST_F(runner_client_test, interimHeadOfAServiceIsSkipped)
{
    EXPECT_EQ(callRespondingWith("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
                                 "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone",
                  pool_kind::Service),
        "answered 200 done");
}

// Guards against reporting a call as not run because of an interim response.
TEST_F(runner_client_test, interimHeadOfAModelIsSkipped)
{
    EXPECT_EQ(callRespondingWith("HTTP/1.1 100 Continue\r\n\r\n" + streamHead + chunk(tokenLine(0) + doneLine)),
        "completed 3+2");
}

TEST_F(runner_client_test, interimHeadWithoutAnAnswerIsBroken)
{
    for (const pool_kind kind : { pool_kind::Model, pool_kind::Service }) {
        outcomes.clear();
        EXPECT_EQ(callRespondingWith("HTTP/1.1 100 Continue\r\n\r\n", kind), "failed broken");
    }
}

// Guards against reading interim responses without end.
TEST_F(runner_client_test, interimHeadsWithoutEndAreBroken)
{
    for (const pool_kind kind : { pool_kind::Model, pool_kind::Service }) {
        outcomes.clear();
        const scripted_server server([](raw_connection& connection) {
            connection.receiveUntil("\r\n\r\n");
            while (connection.send("HTTP/1.1 100 Continue\r\n\r\n")) { }
        });
        EXPECT_EQ(call(server, kind), "failed broken");
    }
}

// Guards against a response of a protocol that the caller did not ask for.
TEST_F(runner_client_test, switchOfProtocolsIsBroken)
{
    for (const pool_kind kind : { pool_kind::Model, pool_kind::Service }) {
        outcomes.clear();
        EXPECT_EQ(callRespondingWith("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\nHTTP/1.1 200 OK\r\n"
                                     "Content-Length: 4\r\n\r\ndone",
                      kind),
            "failed broken");
    }
}

// Guards against passing on a head that is no answer, and against taking such a status for a refusal.
TEST_F(runner_client_test, statusOutOfRangeIsBroken)
{
    for (const char* status : { "000", "001", "099", "600", "999" }) {
        for (const pool_kind kind : { pool_kind::Model, pool_kind::Service }) {
            outcomes.clear();
            EXPECT_EQ(callRespondingWith("HTTP/1.1 " + std::string(status) + " X\r\nContent-Length: 4\r\n\r\ndone", kind),
                "failed broken")
                << status;
        }
    }
}

// Guards against a field line that is no field: one that begins with a blank would be joined to the line before it, so that the caller
// gets a body that is not the runner's, or a content type with that line in it.
TEST_F(runner_client_test, fieldNameWithBlankOrControlByteIsBroken)
{
    const std::string body = "Content-Length: 4\r\n\r\ndone";
    const std::vector<std::string> cases {
        "Bad Name: x\r\n" + body,
        "Name : x\r\n" + body,
        "Content-Length : 2\r\n\r\ndone",
        " Content-Length: 2\r\n\r\ndone",
        "X: y\r\n Content-Length: 2\r\n\r\ndone",
        "X: y\r\n\tTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        "Content-Type: text/plain\r\n X: y\r\n" + body,
        "Content-Length:\r\n 2\r\n\r\ndone",
        "Na\x01me: x\r\n" + body,
        "Na\x7fme: x\r\n" + body,
        ": x\r\n" + body,
        "Name\r\n" + body,
    };
    for (const std::string& lines : cases) {
        for (const pool_kind kind : { pool_kind::Model, pool_kind::Service }) {
            outcomes.clear();
            EXPECT_EQ(callRespondingWith("HTTP/1.1 200 OK\r\n" + lines, kind), "failed broken") << lines;
        }
        outcomes.clear();
        EXPECT_EQ(callRespondingWith("HTTP/1.1 409 Conflict\r\n" + lines), "failed broken") << lines;
    }
    outcomes.clear();
    EXPECT_EQ(callRespondingWith("HTTP/1.1 103 Early Hints\r\nX: y\r\n Z: z\r\n\r\nHTTP/1.1 200 OK\r\n" + body, pool_kind::Service), "failed broken");
}

// Guards against passing on the bytes of a coding as the body.
TEST_F(runner_client_test, bodyWithACodingIsBroken)
{
    for (const char* field : { "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: chunked, chunked", "Content-Encoding: gzip\r\nTransfer-Encoding: chunked" }) {
        for (const pool_kind kind : { pool_kind::Model, pool_kind::Service }) {
            outcomes.clear();
            EXPECT_EQ(callRespondingWith(std::string("HTTP/1.1 200 OK\r\n") + field + "\r\n\r\n" + chunk("done") + "0\r\n\r\n", kind), "failed broken") << field;
        }
    }
}

TEST_F(runner_client_test, bodyWithoutACodingIsAnswered)
{
    for (const char* field : { "Transfer-Encoding: chunked", "Transfer-Encoding: Chunked", "Content-Encoding: identity\r\nTransfer-Encoding: chunked" }) {
        outcomes.clear();
        EXPECT_EQ(callRespondingWith(std::string("HTTP/1.1 200 OK\r\n") + field + "\r\n\r\n" + chunk("done") + "0\r\n\r\n", pool_kind::Service), "answered 200 done") << field;
    }
}

// Guards against refusing fields whose names and values are unusual and allowed.
TEST_F(runner_client_test, unusualFieldIsAnswered)
{
    for (const char* line : { "x!#$%&'*+-.^_`|~9: y", "X:y", "X: \t y \t ", "X:", "X: y: z" }) {
        outcomes.clear();
        EXPECT_EQ(callRespondingWith(std::string("HTTP/1.1 200 OK\r\n") + line + "\r\nContent-Length: 11\r\n\r\n\r\n X: y\r\n\r\n", pool_kind::Service),
            "answered 200 \r\n X: y\r\n\r\n")
            << line;
    }
}

// Guards against reporting a call as not run although its engine failed while running it.
TEST_F(runner_client_test, modelStatusThatIsNoRefusalIsBroken)
{
    for (const char* status : { "201", "204", "302", "500", "502", "504" }) {
        outcomes.clear();
        EXPECT_EQ(callRespondingWith("HTTP/1.1 " + std::string(status) + " X\r\nContent-Length: 0\r\n\r\n"),
            "failed broken")
            << status;
    }
}

TEST_F(runner_client_test, modelStatusOfARefusalIsNotSent)
{
    for (const char* status : { "400", "404", "409", "429", "503" }) {
        outcomes.clear();
        EXPECT_EQ(callRespondingWith("HTTP/1.1 " + std::string(status) + " X\r\nContent-Length: 0\r\n\r\n"),
            "failed not_sent")
            << status;
    }
}

// Guards against adding to an answer what the runner sends after its end.
TEST_F(runner_client_test, linesAfterTheLastAreIgnored)
{
    EXPECT_EQ(callRespondingWith(streamHead + chunk(tokenLine(0) + doneLine + tokenLine(1) + doneLine)), "completed 3+2");
    EXPECT_EQ(tokens, 1U);
}

// Guards against text without bound that is read faster than it is processed.
TEST_F(runner_client_test, streamIsNotReadOnWhileTextWaits)
{
    maxTokens = 20000;
    tokensUntilBehind = 10;
    std::atomic<std::uint32_t> tokensAtPause { 0 };
    const scripted_server server([&](raw_connection& connection) {
        connection.receiveUntil("\r\n\r\n");
        connection.send(streamHead);
        // What the sockets hold does not count, so the pause comes before they are full.
        std::string lines;
        for (std::uint32_t index = 0; index < maxTokens; ++index)
            lines += tokenLine(static_cast<int>(index));
        connection.send(chunk(lines.substr(0, lines.size() / 2)));
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        tokensAtPause = tokens.load();
        tokensUntilBehind = std::numeric_limits<std::uint32_t>::max();
        connection.send(chunk(lines.substr(lines.size() / 2) + doneLine));
        connection.receiveAll();
    });
    EXPECT_EQ(call(server), "completed 3+2");
    // One read brings at most 16 KiB.
    EXPECT_GE(tokensAtPause, 10U);
    EXPECT_LT(tokensAtPause, 1000U);
    EXPECT_EQ(tokens, 20000U);
}

TEST_F(runner_client_test, malformedLineAfterTheLastIsIgnored)
{
    EXPECT_EQ(callRespondingWith(streamHead + chunk(tokenLine(0) + doneLine + "{\n")), "completed 3+2");
}

// Guards against an answer without end, which the entry buffers for a caller that does not stream.
TEST_F(runner_client_test, moreTokensThanRequestedAreBroken)
{
    EXPECT_EQ(callRespondingWith(streamHead + chunk(tokenLine(0) + tokenLine(1) + tokenLine(2) + doneLine)), "failed broken");
    outcomes.clear();
    const scripted_server server([](raw_connection& connection) {
        connection.receiveUntil("\r\n\r\n");
        connection.send(streamHead);
        for (int index = 0; connection.send(chunk(tokenLine(index))); ++index) { }
    });
    EXPECT_EQ(call(server), "failed broken");
}

// Guards against waiting for the body of a response that has none.
TEST_F(runner_client_test, answerToAHeadRequestHasNoBody)
{
    const scripted_server server([](raw_connection& connection) {
        connection.receiveUntil("\r\n\r\n");
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n");
        connection.shutdownSend();
        connection.receiveAll();
    });
    method = "HEAD";
    EXPECT_EQ(call(server, pool_kind::Service), "answered 200 ");
}

// Guards against an answer of another call: a second copy of an answer is ignored, at once or late.
TEST_F(runner_client_test, secondAnswerIsIgnored)
{
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
    EXPECT_EQ(callRespondingWith(answer + answer, pool_kind::Service), "answered 200 done");
    outcomes.clear();
    const std::string stream = streamHead + chunk(tokenLine(0) + doneLine) + "0\r\n\r\n";
    EXPECT_EQ(callRespondingWith(stream + stream), "completed 3+2");
}

// Guards against believing the response to an earlier call: each call has its own connection.
TEST_F(runner_client_test, refusalRepeatedAfterACallDoesNotReachTheNext)
{
    const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    int connections = 0;
    const scripted_server server([&](raw_connection& connection) {
        connection.receiveUntil("\r\n\r\n");
        connection.send(++connections == 1 ? refusal + refusal : streamHead + chunk(tokenLine(0) + doneLine));
        connection.shutdownSend();
        connection.receiveAll();
    });
    EXPECT_EQ(call(server), "failed not_sent");
    outcomes.clear();
    EXPECT_EQ(call(server), "completed 3+2");
}

TEST_F(runner_client_test, bytesBeforeTheHeadAreBroken)
{
    for (const pool_kind kind : { pool_kind::Model, pool_kind::Service }) {
        outcomes.clear();
        EXPECT_EQ(callRespondingWith("junk\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone", kind), "failed broken");
    }
}

// Guards against passing on an answer that lacks its end.
TEST_F(runner_client_test, unframedAnswerThatIsResetIsBroken)
{
    for (const pool_kind kind : { pool_kind::Model, pool_kind::Service }) {
        outcomes.clear();
        const scripted_server server([](raw_connection& connection) {
            connection.receiveUntil("\r\n\r\n");
            connection.send("HTTP/1.1 200 OK\r\n\r\n" + tokenLine(0));
            connection.reset();
        });
        EXPECT_EQ(call(server, kind), "failed broken");
    }
}

// Guards against a part of an answer that looks whole because the upload was still being written at the reset.
TEST_F(runner_client_test, unframedAnswerToAnUploadThatIsResetIsBroken)
{
    uploadBytes = std::size_t { 16 } << 20U;
    for (const pool_kind kind : { pool_kind::Model, pool_kind::Service }) {
        outcomes.clear();
        const scripted_server server([](raw_connection& connection) {
            connection.receiveUntil("\r\n\r\n");
            connection.send("HTTP/1.1 200 OK\r\n\r\n" + tokenLine(0));
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            connection.reset();
        });
        EXPECT_EQ(call(server, kind), "failed broken");
    }
}

// Guards against unbounded buffering of a head or a body that never ends.
TEST_F(runner_client_test, headOrBodyWithoutEndIsBroken)
{
    for (const char* start : { "HTTP/1.1 200 OK\r\nX: ", "HTTP/1.1 200 OK\r\n\r\n" }) {
        for (const pool_kind kind : { pool_kind::Model, pool_kind::Service }) {
            outcomes.clear();
            const scripted_server server([start](raw_connection& connection) {
                connection.receiveUntil("\r\n\r\n");
                connection.send(start);
                const std::string block(16384, 'x');
                while (connection.send(block)) { }
            });
            EXPECT_EQ(call(server, kind), "failed broken") << start;
        }
    }
}

// Guards against an error head within a stream that has begun: it is no line of the stream.
TEST_F(runner_client_test, errorWithinAStreamIsBroken)
{
    const std::string error = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\n{}";
    EXPECT_EQ(callRespondingWith(streamHead + chunk(tokenLine(0)) + error), "failed broken");
    outcomes.clear();
    EXPECT_EQ(callRespondingWith(streamHead + chunk(tokenLine(0)) + chunk(error)), "failed broken");
}

// Guards against a response with a missing token, whether or not both lines arrive in one read.
TEST_F(runner_client_test, skippedTokenIsBroken)
{
    EXPECT_EQ(callRespondingWith(streamHead + chunk(tokenLine(0)) + chunk(tokenLine(2)) + chunk(doneLine)), "failed broken");
}

TEST_F(runner_client_test, streamThatBeginsAtAnotherTokenIsBroken)
{
    EXPECT_EQ(callRespondingWith(streamHead + chunk(tokenLine(1) + doneLine)), "failed broken");
}

TEST_F(runner_client_test, repeatedTokenIsBroken)
{
    EXPECT_EQ(callRespondingWith(streamHead + chunk(tokenLine(0) + tokenLine(0) + doneLine)), "failed broken");
}

// Guards against an index that wraps around to the expected one.
TEST_F(runner_client_test, indexOver32BitsIsBroken)
{
    EXPECT_EQ(callRespondingWith(streamHead + chunk(R"({"index":4294967296,"token":"t"})"
                                                    "\n"
                                     + doneLine)),
        "failed broken");
}

TEST_F(runner_client_test, linesOfAnotherFormAreBroken)
{
    for (const char* line : { "{", "[]", "7", "{}", R"({"index":-1,"token":"t"})", R"({"index":0,"token":7})",
             R"({"done":false})", R"({"done":"yes"})", R"({"cancelled":true})", "\xff" }) {
        outcomes.clear();
        EXPECT_EQ(callRespondingWith(streamHead + chunk(std::string(line) + "\n") + "0\r\n\r\n"), "failed broken") << line;
    }
}

// Guards against an agent that a line of nested brackets ends, since copying a value calls itself for each level.
TEST_F(runner_client_test, deeplyNestedLineIsBroken)
{
    constexpr std::size_t depth = 30000;
    const std::string line = R"({"done":)" + std::string(depth, '[') + std::string(depth, ']') + "}\n";
    EXPECT_EQ(callRespondingWith(streamHead + chunk(line) + "0\r\n\r\n"), "failed broken");
}

// Guards against an exception on a usage field of the wrong type: the call would never end, and its slot would stay
// occupied.
TEST_F(runner_client_test, usageOfAnotherTypeCountsAsNone)
{
    for (const char* usage : { "null", "7", "[]", R"({"prompt_tokens":"x"})", R"({"prompt_tokens":null})" }) {
        outcomes.clear();
        const std::string line = std::string(R"({"done":true,"usage":)") + usage + "}\n";
        EXPECT_EQ(callRespondingWith(streamHead + chunk(line)), "completed 0+0") << usage;
    }
}

// Guards against unbounded buffering of a line that never ends.
TEST_F(runner_client_test, lineWithoutEndIsBroken)
{
    const scripted_server server([](raw_connection& connection) {
        connection.receiveUntil("\r\n\r\n");
        connection.send(streamHead);
        const std::string block = chunk(std::string(16384, 'x'));
        // Ends when the client closes the connection.
        while (connection.send(block)) { }
    });
    EXPECT_EQ(call(server), "failed broken");
}

}

}
