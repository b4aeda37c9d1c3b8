#include "tests/support/caller_fixture.h"

namespace sardinelb {

namespace {

class caller_api_test : public caller_fixture { };

TEST_F(caller_api_test, requestBeforeAnyConfigurationIsNotReady)
{
    messageOf(exchange("POST /v1/chat/completions", chatBody, key), 503, "not_ready");
    EXPECT_TRUE(exchange("GET /readyz", "").starts_with("HTTP/1.1 503"));
    EXPECT_TRUE(exchange("GET /healthz", "").starts_with("HTTP/1.1 200"));
}

TEST_F(caller_api_test, missingOrWrongKeyIsUnauthorized)
{
    configure();
    for (const char* header : { "", "Authorization: Bearer wrong\r\n", "Authorization: Bearer \r\n",
             "Authorization: Basic secret\r\n", "Authorization: secret\r\n" }) {
        messageOf(exchange("POST /v1/chat/completions", chatBody, header), 401, "unauthorized");
        messageOf(exchange("POST /bookings", "{}", header), 401, "unauthorized");
    }
    EXPECT_TRUE(events.read(arrived).empty());
}

TEST_F(caller_api_test, unknownModelPathOrMethodIsNotFound)
{
    configure();
    const std::string other = R"({"model":"small","messages":[{"role":"user","content":"hi"}]})";
    EXPECT_EQ(messageOf(exchange("POST /v1/chat/completions", other, key), 404, "not_found"),
        "model: \"small\" is not configured");
    messageOf(exchange("POST /elsewhere", "{}", key), 404, "not_found");
    messageOf(exchange("GET /bookings", "", key), 404, "not_found");
    messageOf(exchange("GET /v1/chat/completions", "", key), 404, "not_found");
    EXPECT_TRUE(events.read(arrived).empty());
}

TEST_F(caller_api_test, badFieldIsNamed)
{
    configure();
    const std::string bad = R"({"model":"large","max_tokens":0,"messages":[{"role":"user","content":"hi"}]})";
    EXPECT_EQ(messageOf(exchange("POST /v1/chat/completions", bad, key), 400, "malformed"),
        "max_tokens: must be a whole number from 1 to 32768");
    EXPECT_EQ(messageOf(exchange("POST /v1/chat/completions", "{\"model\":", key), 400, "malformed"),
        "body: must be a JSON object");
    EXPECT_TRUE(events.read(arrived).empty());
}

TEST_F(caller_api_test, oversizeIdempotencyKeyIsMalformed)
{
    configure();
    const std::string header = key + "Idempotency-Key: " + std::string(129, 'k') + "\r\n";
    EXPECT_EQ(messageOf(exchange("POST /bookings", "{}", header), 400, "malformed"), "Idempotency-Key: must be at most 128 bytes");
    EXPECT_TRUE(events.read(arrived).empty());
}

// Guards against a request that waits forever because the decision thread did not accept it.
TEST_F(caller_api_test, requestThatIsNotTakenIsRefused)
{
    configure();
    takesRequests = false;
    const std::string answer = exchange("POST /bookings", "{}", key);
    messageOf(answer, 503, "queue_full");
    EXPECT_NE(answer.find("Retry-After: 1\r\n"), std::string::npos) << answer;
    EXPECT_EQ(net.run([this] { return api->openRequests(); }), 0U);
}

// Guards against an exception on a path that is not UTF-8.
TEST_F(caller_api_test, pathThatIsNotUtf8IsNotFound)
{
    configure();
    messageOf(exchange("POST /\xff", "{}", key), 404, "not_found");
}

TEST_F(caller_api_test, errorBeforeTheStreamIsAnAnswerAndAfterItAnEvent)
{
    configure();
    const std::string body = R"({"model":"large","stream":true,"messages":[{"role":"user","content":"hi"}]})";
    const std::string request = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" + key
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    const caller_error error { "no_runner", "none", execution_outcome::Failed, std::chrono::milliseconds(1200) };

    auto early = raw_connection::to(port);
    early.send(request);
    ASSERT_TRUE(events.until([this] { return arrived.size() == 1; }));
    net.run([&] {
        api->sendError(arrived[0].id, error);
        return 0;
    });
    const std::string head = early.receiveUntil("\r\n\r\n");
    EXPECT_TRUE(head.starts_with("HTTP/1.1 503")) << head;
    EXPECT_NE(head.find("Retry-After: 2\r\n"), std::string::npos) << head;

    auto late = raw_connection::to(port);
    late.send(request);
    ASSERT_TRUE(events.until([this] { return arrived.size() == 2; }));
    net.run([&] {
        api->sendPart({ arrived[1].id, 0, 1, "text" });
        api->sendError(arrived[1].id, error);
        return 0;
    });
    const std::string stream = late.receiveAll();
    EXPECT_TRUE(stream.starts_with("HTTP/1.1 200")) << stream;
    EXPECT_NE(stream.find("event: error\ndata: {\"error\""), std::string::npos) << stream;
    EXPECT_EQ(stream.find("[DONE]"), std::string::npos) << stream;
}

// Guards against a runner whose tokens have any length: buffered until the end of the answer, they would take all memory of the entry.
TEST_F(caller_api_test, buffersAreFull_longestAnswerEndsAndOthersStayWhole)
{
    configure();
    const std::string request = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" + key + "Content-Length: " + std::to_string(chatBody.size()) + "\r\n\r\n" + chatBody;
    std::vector<raw_connection> callers;
    for (std::size_t i = 0; i < 3; ++i) {
        callers.push_back(raw_connection::to(port));
        callers.back().send(request);
        ASSERT_TRUE(events.until([&] { return arrived.size() == i + 1; }));
    }
    const std::string ordinary(maxBufferedBytes / 5, 'o');
    net.run([&] {
        api->sendPart({ arrived[0].id, 0, 1, ordinary });
        for (std::uint32_t token = 0; token < 10; ++token)
            api->sendPart({ arrived[1].id, token, 1, std::string(maxBufferedBytes / 10, 'x') });
        api->sendPart({ arrived[2].id, 0, 1, ordinary });
        api->sendEnd({ arrived[0].id, {}, 0, {}, {} });
        api->sendEnd({ arrived[1].id, {}, 0, {}, {} });
        api->sendEnd({ arrived[2].id, {}, 0, {}, {} });
        return 0;
    });
    EXPECT_EQ(events.read(tooLong), std::vector<request_id> { arrived[1].id });
    for (const std::size_t i : { 0U, 1U, 2U }) {
        const std::string head = callers[i].receiveUntil("\r\n\r\n");
        const std::size_t length = std::stoul(head.substr(head.find("Content-Length: ") + 16));
        const auto body = nlohmann::json::parse(callers[i].receiveBytes(length));
        if (i == 1) {
            EXPECT_TRUE(head.starts_with("HTTP/1.1 502")) << head;
            EXPECT_EQ(body["error"]["code"], "runner_failed");
            EXPECT_EQ(body["error"]["execution"], "unknown");
        } else {
            EXPECT_TRUE(head.starts_with("HTTP/1.1 200")) << head;
            EXPECT_EQ(body["choices"][0]["message"]["content"], ordinary);
        }
    }
    // The text of answers that have ended does not count.
    messageOf(exchange("POST /elsewhere", "{}", key), 404, "not_found");
    auto next = raw_connection::to(port);
    next.send(request);
    ASSERT_TRUE(events.until([&] { return arrived.size() == 4; }));
    net.run([&] {
        api->sendPart({ arrived[3].id, 0, 1, std::string(maxBufferedBytes, 'y') });
        api->sendEnd({ arrived[3].id, {}, 0, {}, {} });
        return 0;
    });
    EXPECT_TRUE(next.receiveUntil("\r\n\r\n").starts_with("HTTP/1.1 200"));
}

// Guards against an answer that reaches another caller: an answer to a request that has ended is dropped.
TEST_F(caller_api_test, answerForAnUnknownRequestIsDropped)
{
    configure();
    net.run([this] {
        api->sendPart({ request_id("entry-0-1-99"), 0, 1, "text" });
        api->sendEnd({ request_id("entry-0-1-99"), {}, 200, "text/plain", "body" });
        api->sendError(request_id("entry-0-1-99"), { "internal", "", execution_outcome::Unknown, std::nullopt });
        return 0;
    });
    messageOf(exchange("POST /elsewhere", "{}", key), 404, "not_found");
}

}

}
