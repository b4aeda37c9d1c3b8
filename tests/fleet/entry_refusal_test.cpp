#include "tests/fleet/entry_fixture.h"

namespace sardinelb::test {

// Refusals by which a runner states that it has not run a request.
class entry_refusal : public entry_fixture {
protected:
    caller_result bookWith(int status, const std::string& fields)
    {
        addRunner("r1", respondsWith(status, "", fields));
        addRunner("r2", respondsWith(status, "", fields));
        startStore();
        startEntry();
        return call(request("POST", "/book/x", "Authorization: Bearer k1\r\n", "b"));
    }
};

// Guards against running a booking twice, or calling it not run, because its runner repeats the refusal of an earlier request.
TEST_F(entry_refusal, refusalOfAnotherAttempt_booking_unknownOutcomeAndNoSecondRun)
{
    EXPECT_EQ(bookWith(503, "Attempt-Id: a0\r\nNot-Executed: 1\r\n").status, 502);
    EXPECT_EQ(receivedRequests(), 1U);
}

// Guards against the same with a rate limit.
TEST_F(entry_refusal, rateLimitOfAnotherAttempt_booking_unknownOutcomeAndNoSecondRun)
{
    EXPECT_EQ(bookWith(429, "Attempt-Id: a0\r\nNot-Executed: 1\r\n").status, 502);
    EXPECT_EQ(receivedRequests(), 1U);
}

// Guards against the same with a response that names another runner.
TEST_F(entry_refusal, wrongRunnerForAnotherAttempt_booking_unknownOutcomeAndNoSecondRun)
{
    EXPECT_EQ(bookWith(421, "Attempt-Id: a0\r\nInstance-Id: r9\r\n").status, 502);
    EXPECT_EQ(receivedRequests(), 1U);
}

// Guards against a refusal that another header contradicts: which attempt it is for is not known.
TEST_F(entry_refusal, refusalNamesTwoAttempts_booking_unknownOutcomeAndNoSecondRun)
{
    EXPECT_EQ(bookWith(503, "Attempt-Id: a0\r\nAttempt-Id: a1\r\nNot-Executed: 1\r\n").status, 502);
    EXPECT_EQ(receivedRequests(), 1U);
}

// Guards against telling a caller "not run" for a booking whose runner answers with such a status but does not state that it has not run it.
TEST_F(entry_refusal, unavailableWithoutStatement_booking_unknownOutcomeAndNoSecondRun)
{
    EXPECT_EQ(bookWith(503, "Attempt-Id: a1\r\nServer-Seal: s.1\r\n").status, 502);
    EXPECT_EQ(receivedRequests(), 1U);
}

// Guards against the same with a rate limit.
TEST_F(entry_refusal, rateLimitWithoutStatement_booking_unknownOutcomeAndNoSecondRun)
{
    EXPECT_EQ(bookWith(429, "Attempt-Id: a1\r\nServer-Seal: s.1\r\n").status, 502);
    EXPECT_EQ(receivedRequests(), 1U);
}

TEST_F(entry_refusal, refusalOfThisAttempt_booking_sentToTheOtherRunnerAndRefused)
{
    const caller_result result = bookWith(503, "Attempt-Id: a1\r\nNot-Executed: 1\r\n");
    EXPECT_EQ(result.status, 503);
    EXPECT_GE(receivedRequests(), 2U);
}

}
