#pragma once

#include "serving/attempt_failure.h"

#include <optional>
#include <string>

namespace sardinelb {

struct runner_response_head;

// The attempt that a response is expected for, and what its caller has received.
struct expected_response {
    std::string attemptId;
    // Whether a success is a stream of events.
    bool isStream = false;
    // Whether the caller has received the head of an answer, so that only a stream that goes on can follow.
    bool isAnswerStarted = false;
};

// Why the head of a response ends its attempt.
struct head_rejection {
    attempt_failure failure = attempt_failure::OutcomeUnknown;
    const char* reason = "";
};

// Whether the addressed runner responded to this attempt.
bool isFromAddressedRunner(const runner_response_head&, const expected_response&);

// Whether the response is a stream of events, to be forwarded as they arrive.
bool isEventStream(const runner_response_head&, const expected_response&);

// Decides whether the caller may be answered with a response. Returns nothing if so. "Not run" follows only from a runner's own
// statement about this attempt: the status of a response alone, or a statement about another attempt, leaves the outcome unknown.
std::optional<head_rejection> checkResponseHead(const runner_response_head&, const expected_response&);

}
