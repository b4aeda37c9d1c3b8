#pragma once

#include "state/time.h"

#include <optional>
#include <string>

namespace sardinelb {

// A caller's request, independent of the wire format.
struct proxied_request {
    // Identifies this attempt of the caller; empty if the caller sent no id.
    std::string attemptId;
    std::string method;
    // Path and query as received.
    std::string target;
    std::string host;
    // Empty if the caller sent no key.
    std::string apiKey;
    // How long the caller waits for the response after it sent the request.
    std::optional<duration> callerTimeout;
    // Header lines to forward unchanged, each with its line end.
    std::string forwardedHeaders;
    // Id of the event after which the caller resumes a stream; empty otherwise.
    std::string resumeAfterEvent;
    std::string body;
};

}
