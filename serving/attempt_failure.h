#pragma once

namespace sardinelb {

// How an attempt to run a request on a runner failed.
enum class attempt_failure {
    // The connection failed, so the runner received nothing.
    NotConnected,
    // The runner states that it did not run the request.
    Rejected,
    // The request was sent and no valid response arrived; it may have run.
    OutcomeUnknown,
    // The runner ran the request and failed.
    ServerError,
    // A different runner listens on the address; it did not run the request.
    WrongRunner,
};

// For log lines.
const char* nameOf(attempt_failure);

// Whether it is certain that the attempt did not run the request.
constexpr bool wasNotRun(attempt_failure failure)
{
    return failure != attempt_failure::OutcomeUnknown && failure != attempt_failure::ServerError;
}

}
