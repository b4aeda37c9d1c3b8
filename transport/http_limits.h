#pragma once

#include <chrono>
#include <cstddef>

namespace sardinelb {

// Bounds of an HTTP server; each protects the daemon from callers that send too much or read too slowly.
struct http_limits {
    std::size_t maxHeaderBytes = std::size_t { 16 } * 1024;
    std::size_t maxBodyBytes = std::size_t { 512 } * 1024;
    std::size_t maxConnections = 4096;
    // Time for a whole request to arrive, counted from its first byte or the start of the connection.
    std::chrono::milliseconds requestTimeout { 15000 };
    // Time that a connection may be idle between requests.
    std::chrono::milliseconds idleTimeout { 60000 };
    // While the server drains: time that a new connection may take to send its first request.
    std::chrono::milliseconds firstRequestTimeout { 1000 };
    // Time that a caller may take to read what was written.
    std::chrono::milliseconds writeTimeout { 30000 };
};

}
