#include "tests/fleet/entry_fixture.h"

namespace sardinelb::test {

// Responses that the entry does not accept, or that are not complete, while no other runner is available.
class entry_rejected_response : public entry_fixture {
protected:
    // Starts an entry with one runner.
    void start(const stand_in_runner::behaviour& onRequest)
    {
        addRunner("r1", onRequest);
        startStore();
        startEntry();
    }

    // Sends a lookup that cannot wait until the runner is available again after a refusal, or after a second failure in a row.
    caller_result lookUp()
    {
        std::string bytes = request("GET", "/look/x");
        const std::string deadline = "Deadline-Ms: 2000";
        bytes.replace(bytes.find(deadline), deadline.size(), "Deadline-Ms: 400");
        return call(bytes);
    }
};

// Guards against answering with the failure of another request.
TEST_F(entry_rejected_response, failureOfAnotherAttempt_noOtherRunner_notForwarded)
{
    start(respondsWith(500, "not yours", "Attempt-Id: a0\r\nServer-Seal: s.0\r\n"));
    call(request("GET", "/open/x"));
    const caller_result result = lookUp();
    EXPECT_EQ(result.status, 502);
    EXPECT_FALSE(result.fields.contains("Server-Seal"));
    EXPECT_EQ(result.fields.at("Attempt-Id"), "a1");
}

// Guards against forwarding the head of a failure whose body broke off, with an empty body.
TEST_F(entry_rejected_response, failureBreaksOff_noOtherRunner_notForwarded)
{
    start([](const std::shared_ptr<http_server_connection>& caller, const http_request_message&) {
        caller->beginStream(500, "Attempt-Id: a1\r\nServer-Seal: s.1\r\n");
        caller->sendChunk("half of");
        caller->abort();
    });
    call(request("GET", "/open/x"));
    const caller_result result = lookUp();
    EXPECT_EQ(result.status, 502);
    EXPECT_FALSE(result.fields.contains("Server-Seal"));
}

// Guards against forwarding a refusal of the runner, which lacks the time at which to come back.
TEST_F(entry_rejected_response, refusal_noOtherRunner_rejectedWithRetryTime)
{
    start(respondsWith(503, "full", "Attempt-Id: a1\r\nServer-Seal: s.1\r\nNot-Executed: 1\r\n"));
    const caller_result result = lookUp();
    EXPECT_EQ(result.status, 503);
    EXPECT_FALSE(result.fields.contains("Server-Seal"));
    ASSERT_TRUE(result.fields.contains("Retry-After"));
    EXPECT_GT(std::stod(result.fields.at("Retry-After")), 0);
}

// Guards against a success that reaches its caller with an empty signature.
TEST_F(entry_rejected_response, successWithEmptySignature_notForwarded)
{
    start(respondsWith(200, "who says so", "Attempt-Id: a1\r\nServer-Seal: \r\n"));
    EXPECT_EQ(lookUp().status, 502);
}

// Guards against losing a runner's own failure, which says that the request has run.
TEST_F(entry_rejected_response, completeFailure_noOtherRunner_forwardedWhole)
{
    start(respondsWith(500, "broken"));
    const caller_result result = lookUp();
    EXPECT_EQ(result.status, 500);
    EXPECT_EQ(result.body, "broken");
    EXPECT_EQ(result.fields.at("Server-Seal"), "s.1");
}

}
