#include "serving/response_head_check.h"
#include "serving/runner_response_head.h"

#include <gtest/gtest.h>

namespace sardinelb::test {

// Heads of responses to the attempt "a1".
class response_head_check : public testing::Test {
protected:
    static runner_response_head signedHead(int status, const std::string& attemptId = "a1")
    {
        runner_response_head head;
        head.status = status;
        head.attemptId = attemptId;
        head.isSigned = true;
        return head;
    }

    static runner_response_head refusal(const std::string& attemptId)
    {
        runner_response_head head = signedHead(503, attemptId);
        head.isNotExecuted = true;
        return head;
    }

    expected_response m_expected { "a1", false, false };
    expected_response m_resumedStream { "a1", true, true };
};

TEST_F(response_head_check, successOrFailureOfThisAttempt_accepted)
{
    EXPECT_FALSE(checkResponseHead(signedHead(200), m_expected));
    EXPECT_FALSE(checkResponseHead(signedHead(500), m_expected));
    EXPECT_FALSE(checkResponseHead(signedHead(404), m_expected));
}

// Guards against using the response to another attempt, whatever it says.
TEST_F(response_head_check, otherAttempt_anyResponse_outcomeUnknown)
{
    for (const auto& head : { signedHead(200, "a0"), signedHead(500, "a0"), signedHead(421, "a0"), refusal("a0"), signedHead(200, "") }) {
        const auto rejection = checkResponseHead(head, m_expected);
        ASSERT_TRUE(rejection);
        EXPECT_EQ(rejection->failure, attempt_failure::OutcomeUnknown);
        EXPECT_FALSE(isFromAddressedRunner(head, m_expected));
    }
}

TEST_F(response_head_check, refusalOfThisAttemptOrWithoutId_rejectedAsNotRun)
{
    EXPECT_EQ(checkResponseHead(refusal("a1"), m_expected)->failure, attempt_failure::Rejected);
    EXPECT_EQ(checkResponseHead(refusal(""), m_expected)->failure, attempt_failure::Rejected);
}

TEST_F(response_head_check, wrongRunner_notTakenForTheAddressedOne)
{
    runner_response_head head = signedHead(421);
    head.isFromWrongRunner = true;
    EXPECT_EQ(checkResponseHead(head, m_expected)->failure, attempt_failure::WrongRunner);
    EXPECT_FALSE(isFromAddressedRunner(head, m_expected));
}

// Guards against a promise to the caller that the runner has not given.
TEST_F(response_head_check, statusOfARefusalWithoutStatement_outcomeUnknown)
{
    for (const int status : { 408, 421, 429, 503 })
        EXPECT_EQ(checkResponseHead(signedHead(status), m_expected)->failure, attempt_failure::OutcomeUnknown);
}

TEST_F(response_head_check, unsignedOrEncoded_outcomeUnknown)
{
    runner_response_head encoded = signedHead(200);
    encoded.isEncoded = true;
    runner_response_head unsignedHead = signedHead(200);
    unsignedHead.isSigned = false;
    EXPECT_EQ(checkResponseHead(encoded, m_expected)->failure, attempt_failure::OutcomeUnknown);
    EXPECT_EQ(checkResponseHead(unsignedHead, m_expected)->failure, attempt_failure::OutcomeUnknown);
}

// Guards against any answer but more events after a stream has begun.
TEST_F(response_head_check, streamHasBegun_onlyAnotherStreamIsAccepted)
{
    EXPECT_FALSE(checkResponseHead(signedHead(200), m_resumedStream));
    for (const int status : { 201, 204, 304, 400, 404, 500, 504 })
        EXPECT_TRUE(checkResponseHead(signedHead(status), m_resumedStream)) << status;
}

}
