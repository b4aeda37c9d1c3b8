#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace sardinelb {

// Outgoing HTTP request.
struct http_call {
    std::string method;
    std::string target;
    std::string contentType = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::chrono::milliseconds timeout { 5000 };
    // The longest body that the call can have as its response, in bytes.
    std::uint64_t maxResponseBytes = 1U << 20U;
};

}
