#pragma once

#include "state/time.h"

#include <string>

namespace sardinelb::stand_ins {

enum class http_delivery {
    // Connecting failed; nothing was sent.
    NotSent,
    // No response arrived, or only a part of one.
    Truncated,
    Complete,
};

// Outcome of an HTTP request.
struct http_client_response {
    http_delivery delivery = http_delivery::NotSent;
    int status = 0;
    std::string body;
    // From the Retry-After header; zero when it is absent.
    duration retryAfter {};
    // Why the response is missing or incomplete; empty if it is complete.
    std::string failure;
};

}
