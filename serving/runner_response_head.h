#pragma once

#include <optional>
#include <string>

namespace sardinelb {

// Status and header fields of a runner's response, independent of the wire format.
struct runner_response_head {
    int status = 0;
    // Attempt id that the runner echoed.
    std::string attemptId;
    // Whether the response carries exactly one signature of the runner.
    bool isSigned = false;
    // Whether the runner states that it did not execute the request.
    bool isNotExecuted = false;
    // Whether a different runner than the addressed one responded. It did not execute the request.
    bool isFromWrongRunner = false;
    // Whether an intermediary encoded the body, so that it is not the one that the runner sent.
    bool isEncoded = false;
    // Requests a second that the runner takes from all entries together, for as long as it says so. Nothing if it names no limit.
    std::optional<double> requestsPerSecond;
    // Header lines to forward to the caller, each with its line end, without the hop-by-hop fields.
    std::string forwardedHeaders;
};

}
