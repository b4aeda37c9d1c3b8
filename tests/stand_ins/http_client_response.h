#pragma once

#include "state/time.h"

#include <string>

namespace sardinelb::stand_ins {

enum class http_delivery {
    // No connection could be made; nothing was sent.
    NotSent,
    // No answer arrived, or only a part of one.
    Truncated,
    Complete,
};

// What came back for an HTTP request.
struct http_client_response {
    http_delivery delivery = http_delivery::NotSent;
    int status = 0;
    std::string body;
    // From the Retry-After header; zero when it is absent.
    duration retryAfter {};
    // Why the answer is not whole.
    std::string failure;
};

}
