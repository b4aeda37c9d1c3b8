#pragma once

#include "state/time.h"

#include <optional>
#include <string>

namespace sardinelb {

// A caller's request in the terms of the entry.
struct proxied_request {
    // Identifies this try of the caller; empty if the caller sent none.
    std::string attemptId;
    std::string method;
    // Path and query as sent.
    std::string target;
    std::string host;
    // Empty if the caller sent no key.
    std::string apiKey;
    // How long the caller waits, from its sending.
    std::optional<duration> callerTimeout;
    // Header lines that are passed on unchanged, each with its line end.
    std::string forwardedHeaders;
    // Set when the caller resumes a stream after that event.
    std::string resumeAfterEvent;
    std::string body;
};

}
