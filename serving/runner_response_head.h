#pragma once

#include "state/time.h"

#include <optional>
#include <string>
#include <vector>

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
    // Whether the runner's process leaves: it finishes what it runs and is to get nothing more.
    bool isLeaving = false;
    // How long a runner that rejected the request wants nothing from this entry. Bounded. Nothing if it does not say.
    std::optional<duration> pauseTime;
    // How much longer the runner says that it is cold. Bounded. Nothing if it does not say.
    std::optional<duration> coldTimeLeft;
    // Names of fields whose values cannot be read, for the log.
    std::vector<std::string> unreadableFields;
    // Header lines to forward to the caller, each with its line end, without the hop-by-hop fields.
    std::string forwardedHeaders;
};

}
