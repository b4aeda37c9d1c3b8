#pragma once

#include <chrono>
#include <cstddef>

namespace sardinelb {

// Limits of an HTTP server, which protect the daemon from clients that send too much or read too slowly.
struct http_limits {
    std::size_t maxHeaderBytes = std::size_t { 16 } * 1024;
    std::size_t maxBodyBytes = std::size_t { 512 } * 1024;
    std::size_t maxConnections = 4096;
    // Time for a complete request to arrive, counted from its first byte or the start of the connection.
    std::chrono::milliseconds requestTimeout { 15000 };
    // Time for which a connection may be idle between requests.
    std::chrono::milliseconds idleTimeout { 60000 };
    // While the server drains: time for a new connection to send its first request.
    std::chrono::milliseconds firstRequestTimeout { 1000 };
    // Time for the client to read each write.
    std::chrono::milliseconds writeTimeout { 30000 };
};

}
