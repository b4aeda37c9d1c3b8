#include "tests/fleet/entry_fixture.h"

namespace sardinelb::test {

using std::chrono::milliseconds;

class entry_request : public entry_fixture { };

// Guards against headers of the caller's connection or its key reaching a runner, and against a changed body.
TEST_F(entry_request, booking_oneRunner_passedOnUnchangedWithTeamAndRunner)
{
    stand_in_runner& runner = addRunner("r1", answers(200, "booked"));
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

// Guards against a booking that runs twice after its runner broke off.
TEST_F(entry_request, booking_runnerBreaksOff_unknownOutcomeAndNoSecondRun)
{
    addRunner("r1", breaksOff());
    addRunner("r2", breaksOff());
    startStore();
    startEntry();
    const caller_result result = call(request("POST", "/book/x", "Authorization: Bearer k1\r\n", "b"));
    EXPECT_EQ(result.status, 502);
    EXPECT_EQ(arrivals(), 1U);
}

TEST_F(entry_request, booking_runnerDidNotRunIt_sentToAnotherRunner)
{
    stand_in_runner& full = addRunner("r1", answers(503, "", "Not-Executed: 1\r\n"));
    stand_in_runner& other = addRunner("r2", answers(503, "", "Not-Executed: 1\r\n"));
    full.answer = other.answer = [this](const std::shared_ptr<caller_connection>& caller, const http_request_message&) {
        if (arrivals() == 1)
            caller->answer(503, "Not-Executed: 1\r\n", "");
        else
            caller->answer(200, "Attempt-Id: a1\r\nServer-Seal: s.1\r\n", "ok");
    };
    startStore();
    startEntry();
    const caller_result result = call(request("POST", "/book/x", "Authorization: Bearer k1\r\n", "b"));
    EXPECT_EQ(result.status, 200);
    EXPECT_EQ(arrivals(), 2U);
    EXPECT_EQ(full.received.size(), 1U);
}

// Guards against a refusal without a time at which to come back.
TEST_F(entry_request, booking_allRunnersRefuse_refusedAsNotRunWithRetryTime)
{
    addRunner("r1", answers(503, "", "Not-Executed: 1\r\n"));
    addRunner("r2", answers(421, "", "Instance-Id: r9\r\n"));
    startStore();
    startEntry();
    const caller_result result = call(request("POST", "/book/x", "Authorization: Bearer k1\r\n", "b"));
    EXPECT_EQ(result.status, 503);
    EXPECT_GT(std::stod(result.fields.at("Retry-After")), 0);
    EXPECT_EQ(result.fields.at("Attempt-Id"), "a1");
}

TEST_F(entry_request, booking_noConnectionToRunner_sentToAnotherRunner)
{
    addAbsentRunner("r0");
    stand_in_runner& runner = addRunner("r1", answers(200, "ok"));
    startStore();
    startEntry();
    for (int i = 0; i < 4; ++i)
        EXPECT_EQ(call(request("POST", "/book/x", "Authorization: Bearer k1\r\n", "b")).status, 200);
    EXPECT_EQ(runner.received.size(), 4U);
}

TEST_F(entry_request, lookup_runnerBreaksOff_answeredByAnotherRunner)
{
    stand_in_runner& first = addRunner("r1", breaksOff());
    stand_in_runner& second = addRunner("r2", breaksOff());
    first.answer = second.answer = [this](const std::shared_ptr<caller_connection>& caller, const http_request_message&) {
        if (arrivals() == 1)
            caller->breakOff();
        else
            caller->answer(200, "Attempt-Id: a1\r\nServer-Seal: s.1\r\n", "found");
    };
    startStore();
    startEntry();
    EXPECT_EQ(call(request("GET", "/look/x")).body, "found");
    EXPECT_EQ(arrivals(), 2U);
}

// Guards against the answer of another request reaching the caller.
TEST_F(entry_request, booking_answerOfAnotherAttempt_notPassedOn)
{
    addRunner("r1", answers(200, "not yours", "Attempt-Id: a0\r\nServer-Seal: s.0\r\n"));
    startStore();
    startEntry();
    const caller_result result = call(request("POST", "/book/x", "Authorization: Bearer k1\r\n", "b"));
    EXPECT_EQ(result.status, 502);
    EXPECT_EQ(result.body, "");
}

TEST_F(entry_request, booking_successWithoutSignature_notPassedOn)
{
    addRunner("r1", answers(200, "who says so", "Attempt-Id: a1\r\n"));
    startStore();
    startEntry();
    EXPECT_EQ(call(request("POST", "/book/x", "Authorization: Bearer k1\r\n", "b")).status, 502);
}

TEST_F(entry_request, booking_runnerFails_failurePassedOnWithSignature)
{
    addRunner("r1", answers(500, "broken"));
    startStore();
    startEntry();
    const caller_result result = call(request("POST", "/book/x", "Authorization: Bearer k1\r\n", "b"));
    EXPECT_EQ(result.status, 500);
    EXPECT_EQ(result.body, "broken");
    EXPECT_EQ(result.fields.at("Server-Seal"), "s.1");
}

// Guards against an answer that ends early and looks complete.
TEST_F(entry_request, booking_answerTruncated_unknownOutcome)
{
    addRunner("r1", [](const std::shared_ptr<caller_connection>& caller, const http_request_message&) {
        caller->beginStream(200, "Attempt-Id: a1\r\nServer-Seal: s.1\r\n");
        caller->sendPart("half of");
        caller->breakOff();
    });
    startStore();
    startEntry();
    EXPECT_EQ(call(request("POST", "/book/x", "Authorization: Bearer k1\r\n", "b")).status, 502);
}

// Guards against a gap, a repetition or a torn event when a stream moves to another runner.
TEST_F(entry_request, stream_runnerBreaksOffInEvent_continuedByAnotherInSameAnswer)
{
    const auto behaviour = [this](const std::shared_ptr<caller_connection>& caller, const http_request_message& message) {
        const std::string after = fieldOf(message, "Last-Event-Id");
        caller->beginStream(200, "Attempt-Id: a1\r\nServer-Seal: s." + std::to_string(arrivals()) + "\r\nContent-Type: text/event-stream\r\n");
        if (after.empty()) {
            caller->sendPart("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
            later(milliseconds(20), [caller] { caller->breakOff(); });
            return;
        }
        EXPECT_EQ(after, "2");
        caller->sendPart("id: 3\ndata: c\n\n");
        caller->endStream();
    };
    addRunner("r1", behaviour);
    addRunner("r2", behaviour);
    startStore();
    startEntry();
    const caller_result result = call(request("POST", "/write/x", "Authorization: Bearer k1\r\n", "p"));
    EXPECT_EQ(result.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    EXPECT_EQ(result.fields.at("Server-Seal"), "s.1");
    EXPECT_EQ(result.ending, runner_exchange::ending::Complete);
}

// Guards against a stream that ends as complete although no runner could finish it.
TEST_F(entry_request, stream_allRunnersBreakOff_answerIsNotComplete)
{
    const auto behaviour = [this](const std::shared_ptr<caller_connection>& caller, const http_request_message&) {
        caller->beginStream(200, "Attempt-Id: a1\r\nServer-Seal: s.1\r\n");
        caller->sendPart("id: " + std::to_string(arrivals()) + "\ndata: a\n\n");
        later(milliseconds(20), [caller] { caller->breakOff(); });
    };
    addRunner("r1", behaviour);
    addRunner("r2", behaviour);
    startStore();
    startEntry();
    EXPECT_EQ(call(request("POST", "/write/x", "Authorization: Bearer k1\r\n", "p")).ending, runner_exchange::ending::Broken);
}

// Guards against runners that go on working for a caller that has left.
TEST_F(entry_request, caller_leavesWhileRunnerWorks_runnerIsToldWithinHalfASecond)
{
    stand_in_runner& runner = addRunner("r1", isSilent());
    startStore();
    startEntry();
    beginCall(m_settings.callerAddress, request("POST", "/book/x", "Authorization: Bearer k1\r\n", "b"));
    runFor(milliseconds(100));
    ASSERT_EQ(runner.received.size(), 1U);
    m_exchange->cancel();
    runFor(milliseconds(300));
    EXPECT_EQ(runner.callersLeft, 1U);
}

// Guards against callers that are held beyond the time limit of their route.
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

TEST_F(entry_request, request_unknownKeyOrRoute_refusedWithoutReachingARunner)
{
    addRunner("r1", answers(200, "ok"));
    startStore();
    startEntry();
    EXPECT_EQ(call(request("GET", "/look/x", "Authorization: Bearer stolen\r\n")).status, 401);
    EXPECT_EQ(call(request("GET", "/look/x", "")).status, 401);
    EXPECT_EQ(call(request("GET", "/none/x")).status, 404);
    EXPECT_EQ(arrivals(), 0U);
    EXPECT_EQ(call(request("GET", "/open/x", "")).status, 200);
}

// Guards against 401 or 404 from an entry that knows no configuration yet.
TEST_F(entry_request, request_storeIsDownAtTheStart_refusedAsNotRunAndNotReady)
{
    m_storeFailure = 503;
    startStore();
    startEntry(false);
    runFor(milliseconds(50));
    EXPECT_EQ(readiness(), 503);
    EXPECT_EQ(call(request("GET", "/look/x")).status, 503);
    m_storeFailure = 0;
    addRunner("r1", answers(200, "ok"));
    runFor(milliseconds(1000));
    EXPECT_EQ(readiness(), 200);
    EXPECT_EQ(call(request("GET", "/look/x")).status, 200);
}

// Guards against rows of other writers that stop the entry or are taken for runners.
TEST_F(entry_request, request_unreadableRowsInTheStore_servedByTheOthers)
{
    addRunner("r1", answers(200, "ok"));
    m_rows["x1"] = "not json";
    m_rows["x2"] = R"({"service":7,"address":"127.0.0.1:1","state":"ready","slots":1})";
    m_rows["x3"] = R"({"service":"plain","address":"127.0.0.1:1","state":"resting","slots":1})";
    m_rows["x4"] = R"({"service":"plain","state":"ready","slots":1})";
    startStore();
    startEntry();
    for (int i = 0; i < 5; ++i)
        EXPECT_EQ(call(request("GET", "/look/x")).status, 200);
}

// Guards against a planned stop that cuts a request, and against a stopping entry that says it is ready.
TEST_F(entry_request, stop_whileRunnerWorks_answerIsDeliveredAndNotReady)
{
    addRunner("r1", [this](const std::shared_ptr<caller_connection>& caller, const http_request_message&) {
        later(milliseconds(400), [caller] { caller->answer(200, "Attempt-Id: a1\r\nServer-Seal: s.1\r\n", "late but whole"); });
    });
    startStore();
    startEntry();
    const auto result = beginCall(m_settings.callerAddress, request("POST", "/book/x", "Authorization: Bearer k1\r\n", "b"));
    const auto held = m_exchange;
    runFor(milliseconds(50));
    m_entry->stop();
    EXPECT_EQ(readiness(), 503);
    runFor(milliseconds(600));
    EXPECT_EQ(result->body, "late but whole");
}

// Guards against requests that are passed on to a runner that drains.
TEST_F(entry_request, runner_drains_getsNoRequestWithinASecond)
{
    stand_in_runner& leaving = addRunner("r1", answers(200, "ok"));
    addRunner("r2", answers(200, "ok"));
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

// Guards against a version that falls, such as a row that a slow read brings.
TEST_F(entry_request, configuration_olderVersionArrives_newerStaysInForce)
{
    addRunner("r1", answers(200, "ok"));
    startStore();
    startEntry();
    m_configuration.replace(m_configuration.find("\"version\":7"), 11, "\"version\":6");
    m_configuration.replace(m_configuration.find("\"k1\""), 4, "\"k0\"");
    ++m_revision;
    runFor(milliseconds(500));
    EXPECT_EQ(call(request("GET", "/look/x")).status, 200);
}

}
