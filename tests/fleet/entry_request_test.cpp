#include "tests/fleet/entry_fixture.h"

namespace sardinelb::test {

using std::chrono::milliseconds;

class entry_request : public entry_fixture { };

// Guards against forwarding headers of the caller's connection, its API key or a forged Tenant header to a runner, and
// against changing the body.
TEST_F(entry_request, booking_oneRunner_forwardedUnchangedWithTeamAndRunner)
{
    stand_in_runner& runner = addRunner("r1", respondsWith(200, "booked"));
    startStore();
    startEntry();
    const caller_result result = call(request("POST", "/book/x?y=1", "Authorization: Bearer k1\r\nX-Note: n\r\nTenant: forged\r\n", "two drums"));
    EXPECT_EQ(result.status, 200);
    EXPECT_EQ(result.body, "booked");
    EXPECT_EQ(result.fields.at("Server-Seal"), "s.1");
    ASSERT_EQ(runner.received.size(), 1U);
    const http_request_message& got = runner.received.front();
    EXPECT_EQ(got.method + " " + got.target, "POST /book/x?y=1");
    EXPECT_EQ(got.body, "two drums");
    EXPECT_EQ(fieldOf(got, "Authorization"), "");
    EXPECT_EQ(fieldOf(got, "Tenant"), "crew");
    EXPECT_EQ(fieldOf(got, "X-Note"), "n");
    EXPECT_EQ(fieldOf(got, "Expect-Instance"), "r1");
    EXPECT_LE(std::stoi(fieldOf(got, "Deadline-Ms")), 1000);
}

// Guards against running a booking twice after its runner closes the connection without a response.
TEST_F(entry_request, booking_runnerAborts_unknownOutcomeAndNoSecondRun)
{
    addRunner("r1", aborts());
    addRunner("r2", aborts());
    startStore();
    startEntry();
    const caller_result result = call(request("POST", "/book/x", "Authorization: Bearer k1\r\n", "b"));
    EXPECT_EQ(result.status, 502);
    EXPECT_EQ(receivedRequests(), 1U);
}

TEST_F(entry_request, booking_runnerDidNotRunIt_sentToAnotherRunner)
{
    stand_in_runner& full = addRunner("r1", respondsWith(503, "", "Not-Executed: 1\r\n"));
    stand_in_runner& other = addRunner("r2", respondsWith(503, "", "Not-Executed: 1\r\n"));
    full.onRequest = other.onRequest = [this](const std::shared_ptr<http_server_connection>& caller, const http_request_message&) {
        if (receivedRequests() == 1)
            caller->respond(503, "Not-Executed: 1\r\n", "");
        else
            caller->respond(200, "Attempt-Id: a1\r\nServer-Seal: s.1\r\n", "ok");
    };
    startStore();
    startEntry();
    const caller_result result = call(request("POST", "/book/x", "Authorization: Bearer k1\r\n", "b"));
    EXPECT_EQ(result.status, 200);
    EXPECT_EQ(receivedRequests(), 2U);
    EXPECT_EQ(full.received.size(), 1U);
}

// Guards against a rejection without Retry-After.
TEST_F(entry_request, booking_allRunnersRefuse_refusedAsNotRunWithRetryTime)
{
    addRunner("r1", respondsWith(503, "", "Not-Executed: 1\r\n"));
    addRunner("r2", respondsWith(421, "", "Instance-Id: r9\r\n"));
    startStore();
    startEntry();
    const caller_result result = call(request("POST", "/book/x", "Authorization: Bearer k1\r\n", "b"));
    EXPECT_EQ(result.status, 503);
    EXPECT_GT(std::stod(result.fields.at("Retry-After")), 0);
    EXPECT_EQ(result.fields.at("Attempt-Id"), "a1");
}

TEST_F(entry_request, booking_noConnectionToRunner_sentToAnotherRunner)
{
    addUnreachableRunner("r0");
    stand_in_runner& runner = addRunner("r1", respondsWith(200, "ok"));
    startStore();
    startEntry();
    for (int i = 0; i < 4; ++i)
        EXPECT_EQ(call(request("POST", "/book/x", "Authorization: Bearer k1\r\n", "b")).status, 200);
    EXPECT_EQ(runner.received.size(), 4U);
}

TEST_F(entry_request, lookup_runnerAborts_answeredByAnotherRunner)
{
    stand_in_runner& first = addRunner("r1", aborts());
    stand_in_runner& second = addRunner("r2", aborts());
    first.onRequest = second.onRequest = [this](const std::shared_ptr<http_server_connection>& caller, const http_request_message&) {
        if (receivedRequests() == 1)
            caller->abort();
        else
            caller->respond(200, "Attempt-Id: a1\r\nServer-Seal: s.1\r\n", "found");
    };
    startStore();
    startEntry();
    EXPECT_EQ(call(request("GET", "/look/x")).body, "found");
    EXPECT_EQ(receivedRequests(), 2U);
}

// Guards against forwarding the response to another request.
TEST_F(entry_request, booking_responseToAnotherAttempt_notForwarded)
{
    addRunner("r1", respondsWith(200, "not yours", "Attempt-Id: a0\r\nServer-Seal: s.0\r\n"));
    startStore();
    startEntry();
    const caller_result result = call(request("POST", "/book/x", "Authorization: Bearer k1\r\n", "b"));
    EXPECT_EQ(result.status, 502);
    EXPECT_EQ(result.body, "");
}

TEST_F(entry_request, booking_successWithoutSignature_notForwarded)
{
    addRunner("r1", respondsWith(200, "who says so", "Attempt-Id: a1\r\n"));
    startStore();
    startEntry();
    EXPECT_EQ(call(request("POST", "/book/x", "Authorization: Bearer k1\r\n", "b")).status, 502);
}

TEST_F(entry_request, booking_runnerFails_failureForwardedWithSignature)
{
    addRunner("r1", respondsWith(500, "broken"));
    startStore();
    startEntry();
    const caller_result result = call(request("POST", "/book/x", "Authorization: Bearer k1\r\n", "b"));
    EXPECT_EQ(result.status, 500);
    EXPECT_EQ(result.body, "broken");
    EXPECT_EQ(result.fields.at("Server-Seal"), "s.1");
}

// Guards against presenting a truncated response as complete.
TEST_F(entry_request, booking_responseTruncated_unknownOutcome)
{
    addRunner("r1", [](const std::shared_ptr<http_server_connection>& caller, const http_request_message&) {
        caller->beginStream(200, "Attempt-Id: a1\r\nServer-Seal: s.1\r\n");
        caller->sendChunk("half of");
        caller->abort();
    });
    startStore();
    startEntry();
    EXPECT_EQ(call(request("POST", "/book/x", "Authorization: Bearer k1\r\n", "b")).status, 502);
}

// Guards against missing, repeated or truncated events when a stream moves to another runner.
TEST_F(entry_request, stream_runnerAbortsInEvent_continuedByAnotherInSameResponse)
{
    const auto behaviour = [this](const std::shared_ptr<http_server_connection>& caller, const http_request_message& message) {
        const std::string after = fieldOf(message, "Last-Event-Id");
        caller->beginStream(200, "Attempt-Id: a1\r\nServer-Seal: s." + std::to_string(receivedRequests()) + "\r\nContent-Type: text/event-stream\r\n");
        if (after.empty()) {
            caller->sendChunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
            runAfter(milliseconds(20), [caller] { caller->abort(); });
            return;
        }
        EXPECT_EQ(after, "2");
        caller->sendChunk("id: 3\ndata: c\n\n");
        caller->endStream();
    };
    addRunner("r1", behaviour);
    addRunner("r2", behaviour);
    startStore();
    startEntry();
    const caller_result result = call(request("POST", "/write/x", "Authorization: Bearer k1\r\n", "p"));
    EXPECT_EQ(result.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    EXPECT_EQ(result.fields.at("Server-Seal"), "s.1");
    EXPECT_EQ(result.exchangeResult, runner_exchange::result::Complete);
}

// Guards against taking the response to a HEAD, which has no events, for a stream that has ended early.
TEST_F(entry_request, headOfStream_runnerAnswers_answeredOnce)
{
    addRunner("r1", respondsWith(200, "", "Attempt-Id: a1\r\nServer-Seal: s.1\r\nContent-Type: text/event-stream\r\n"));
    addRunner("r2", respondsWith(200, "", "Attempt-Id: a1\r\nServer-Seal: s.1\r\nContent-Type: text/event-stream\r\n"));
    startStore();
    startEntry();
    const std::string received = receiveAll(request("HEAD", "/write/x", "Authorization: Bearer k1\r\nConnection: close\r\n"));
    EXPECT_TRUE(received.starts_with("HTTP/1.1 200 OK\r\n")) << received;
    EXPECT_EQ(receivedRequests(), 1U);
}

// Guards against ending a stream as complete although no runner finished it.
TEST_F(entry_request, stream_allRunnersAbort_responseIsNotComplete)
{
    const auto behaviour = [this](const std::shared_ptr<http_server_connection>& caller, const http_request_message&) {
        caller->beginStream(200, "Attempt-Id: a1\r\nServer-Seal: s.1\r\n");
        caller->sendChunk("id: " + std::to_string(receivedRequests()) + "\ndata: a\n\n");
        runAfter(milliseconds(20), [caller] { caller->abort(); });
    };
    addRunner("r1", behaviour);
    addRunner("r2", behaviour);
    startStore();
    startEntry();
    EXPECT_EQ(call(request("POST", "/write/x", "Authorization: Bearer k1\r\n", "p")).exchangeResult, runner_exchange::result::Broken);
}

// Guards against requests that have run and get no response because the responses to others use the memory, and against responses that
// wait for each other's memory until their deadline.
TEST_F(entry_request, largeResponses_moreThanTheMemory_allComplete)
{
    static constexpr std::size_t bodyBytes = 7340032;
    m_settings.memoryBytes = 1;
    m_configuration.replace(m_configuration.find("1000"), 4, "8000");
    std::vector<std::shared_ptr<http_server_connection>> waiting;
    addRunner("r1", [&](const std::shared_ptr<http_server_connection>& caller, const http_request_message&) {
        waiting.push_back(caller);
        if (waiting.size() < 3)
            return;
        for (const auto& one : waiting)
            one->respond(200, "Attempt-Id: a1\r\nServer-Seal: s.1\r\n", std::string(bodyBytes, 'x'));
    });
    startStore();
    startEntry();
    std::string sent = request("POST", "/book/x", "Authorization: Bearer k1\r\n", "b");
    sent.replace(sent.find("2000"), 4, "8000");
    constexpr std::size_t callers = 3;
    std::vector<std::shared_ptr<caller_result>> results;
    results.reserve(callers);
    for (std::size_t i = 0; i < callers; ++i)
        results.push_back(startCall(m_settings.callerAddress, sent));
    for (const auto& result : results) {
        for (int i = 0; i < 100 && !result->isEnded; ++i)
            runFor(milliseconds(100));
        EXPECT_EQ(result->status, 200);
        EXPECT_EQ(result->body.size(), bodyBytes);
    }
}

// Guards against runners that keep working for a caller that has disconnected.
TEST_F(entry_request, caller_disconnectsWhileRunnerWorks_runnerSeesItWithinHalfASecond)
{
    stand_in_runner& runner = addRunner("r1", isSilent());
    startStore();
    startEntry();
    startCall(m_settings.callerAddress, request("POST", "/book/x", "Authorization: Bearer k1\r\n", "b"));
    runFor(milliseconds(100));
    ASSERT_EQ(runner.received.size(), 1U);
    m_exchange->cancel();
    runFor(milliseconds(300));
    EXPECT_EQ(runner.callerDisconnects, 1U);
}

// Guards against holding a caller beyond the time limit of its route.
TEST_F(entry_request, booking_runnerIsSilent_failsAtTheRoutesTimeLimit)
{
    addRunner("r1", isSilent());
    startStore();
    startEntry();
    const caller_result result = call(request("POST", "/short/x", "Authorization: Bearer k1\r\n", "b"));
    EXPECT_EQ(result.status, 504);
    EXPECT_GE(result.took, milliseconds(190));
    EXPECT_LE(result.took, milliseconds(500));
}

TEST_F(entry_request, request_unknownKeyOrRoute_rejectedWithoutReachingARunner)
{
    addRunner("r1", respondsWith(200, "ok"));
    startStore();
    startEntry();
    EXPECT_EQ(call(request("GET", "/look/x", "Authorization: Bearer stolen\r\n")).status, 401);
    EXPECT_EQ(call(request("GET", "/look/x", "")).status, 401);
    EXPECT_EQ(call(request("GET", "/none/x")).status, 404);
    EXPECT_EQ(receivedRequests(), 0U);
    EXPECT_EQ(call(request("GET", "/open/x", "")).status, 200);
}

// Guards against responding with 401 or 404 before a configuration is known.
TEST_F(entry_request, request_storeIsDownAtTheStart_rejectedAsNotRunAndNotReady)
{
    m_storeErrorStatus = 503;
    startStore();
    startEntry(false);
    runFor(milliseconds(50));
    EXPECT_EQ(readiness(), 503);
    EXPECT_EQ(call(request("GET", "/look/x")).status, 503);
    m_storeErrorStatus = 0;
    addRunner("r1", respondsWith(200, "ok"));
    runFor(milliseconds(1000));
    EXPECT_EQ(readiness(), 200);
    EXPECT_EQ(call(request("GET", "/look/x")).status, 200);
}

// Guards against unreadable store rows of other writers that stop the entry or are taken for runners.
TEST_F(entry_request, request_unreadableRowsInTheStore_servedByTheOthers)
{
    addRunner("r1", respondsWith(200, "ok"));
    m_rows["x1"] = "not json";
    m_rows["x2"] = R"({"service":7,"address":"127.0.0.1:1","state":"ready","slots":1})";
    m_rows["x3"] = R"({"service":"plain","address":"127.0.0.1:1","state":"resting","slots":1})";
    m_rows["x4"] = R"({"service":"plain","state":"ready","slots":1})";
    startStore();
    startEntry();
    for (int i = 0; i < 5; ++i)
        EXPECT_EQ(call(request("GET", "/look/x")).status, 200);
}

// Guards against a graceful stop that aborts a request, and against a stopping entry that reports itself ready.
TEST_F(entry_request, stop_whileRunnerWorks_responseIsDeliveredAndNotReady)
{
    addRunner("r1", [this](const std::shared_ptr<http_server_connection>& caller, const http_request_message&) {
        runAfter(milliseconds(400), [caller] { caller->respond(200, "Attempt-Id: a1\r\nServer-Seal: s.1\r\n", "late but whole"); });
    });
    startStore();
    startEntry();
    const auto result = startCall(m_settings.callerAddress, request("POST", "/book/x", "Authorization: Bearer k1\r\n", "b"));
    const auto held = m_exchange;
    runFor(milliseconds(50));
    m_entry->stop();
    EXPECT_EQ(readiness(), 503);
    runFor(milliseconds(600));
    EXPECT_EQ(result->body, "late but whole");
}

// Guards against sending requests to a draining runner.
TEST_F(entry_request, runner_drains_getsNoRequestAfterOneSecond)
{
    stand_in_runner& leaving = addRunner("r1", respondsWith(200, "ok"));
    addRunner("r2", respondsWith(200, "ok"));
    startStore();
    startEntry();
    const std::size_t ready = m_rows["r1"].find("ready");
    m_rows["r1"].replace(ready, 5, "draining");
    ++m_revision;
    runFor(milliseconds(1000));
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(call(request("GET", "/look/x")).status, 200);
    EXPECT_EQ(leaving.received.size(), 0U);
}

// Guards against replacing the configuration by an older version, as when a slow read returns an old row.
TEST_F(entry_request, configuration_olderVersionArrives_newerStaysActive)
{
    addRunner("r1", respondsWith(200, "ok"));
    startStore();
    startEntry();
    m_configuration.replace(m_configuration.find("\"version\":7"), 11, "\"version\":6");
    m_configuration.replace(m_configuration.find("\"k1\""), 4, "\"k0\"");
    ++m_revision;
    runFor(milliseconds(500));
    EXPECT_EQ(call(request("GET", "/look/x")).status, 200);
}

}
