#pragma once

namespace sardinelb {

// How an attempt at a runner failed.
enum class attempt_failure {
    // No connection: the runner read nothing.
    NotConnected,
    // The runner says that it did not run the request.
    Rejected,
    // The request was sent and no valid answer came; it may have run.
    OutcomeUnknown,
    // The runner ran the request and failed.
    ServerError,
    // Another runner answers at the address and did not run the request.
    WrongRunner,
};

// Whether the request surely was not run by that attempt.
constexpr bool wasNotRun(attempt_failure failure)
{
    return failure != attempt_failure::OutcomeUnknown && failure != attempt_failure::ServerError;
}

}
