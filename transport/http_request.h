#pragma once

#include <string>

namespace sardinelb {

// Request received by an HTTP server.
struct http_request {
    std::string method;
    // Path and query as sent.
    std::string target;
    // Values of the headers in use; empty if absent.
    std::string authorization;
    std::string idempotencyKey;
    std::string contentType;
    std::string body;
};

}
