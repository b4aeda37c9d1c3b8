#pragma once

#include "state/ids.h"
#include "state/time.h"

#include <optional>
#include <string>
#include <vector>

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
    // The parts of the prompt that other requests may share: all but the last, which is the request's own. Empty without a prompt.
    std::vector<prompt_part_id> promptParts;
    std::string body;
};

}
