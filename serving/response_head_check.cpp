#include "serving/response_head_check.h"

#include "serving/runner_response_head.h"

namespace sardinelb {

namespace {

constexpr int okStatus = 200;

bool isForAttempt(const runner_response_head& head, const std::string& attemptId)
{
    // A runner that could not read the request cannot name the attempt in its refusal.
    const bool isRefusal = head.isNotExecuted || head.isFromWrongRunner;
    return head.attemptId == attemptId || (isRefusal && head.attemptId.empty());
}

// Whether the status tells a caller that its request has not run and will not run.
bool isNotRunStatus(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

}

bool isFromAddressedRunner(const runner_response_head& head, const expected_response& expected)
{
    return isForAttempt(head, expected.attemptId) && !head.isFromWrongRunner;
}

bool isEventStream(const runner_response_head& head, const expected_response& expected)
{
    return expected.isStream && head.status == okStatus;
}

std::optional<head_rejection> checkResponseHead(const runner_response_head& head, const expected_response& expected)
{
    if (!isForAttempt(head, expected.attemptId))
        return head_rejection { attempt_failure::OutcomeUnknown, "response is for another attempt" };
    if (head.isFromWrongRunner)
        return head_rejection { attempt_failure::WrongRunner, "response from another runner than addressed" };
    if (head.isNotExecuted)
        return head_rejection { attempt_failure::Rejected, "runner reports that it did not run the request" };
    if (!head.isSigned || head.isEncoded)
        return head_rejection { attempt_failure::OutcomeUnknown, "response is unsigned or encoded" };
    if (isNotRunStatus(head.status))
        return head_rejection { attempt_failure::OutcomeUnknown, "runner does not state that it did not run the request" };
    if (expected.isAnswerStarted && !isEventStream(head, expected))
        return head_rejection { attempt_failure::ServerError, "runner does not continue the stream" };
    return std::nullopt;
}

}
