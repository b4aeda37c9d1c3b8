#pragma once

#include <string>

namespace sardinelb {

// The head of a runner's answer in the terms of the entry.
struct runner_response_head {
    int status = 0;
    // Attempt that the answer belongs to, as the runner echoes it.
    std::string attemptId;
    // Whether the answer carries the runner's signature.
    bool isSigned = false;
    // Whether the runner states that it did not run the request.
    bool isNotExecuted = false;
    // Whether another runner than the expected one answered; it did not run the request.
    bool isFromWrongRunner = false;
    // Whether the body was encoded on the way, so that it is not the runner's own.
    bool isEncoded = false;
    // Header lines for the caller, each with its line end, without those that concern the connection.
    std::string forwardedHeaders;
};

}
