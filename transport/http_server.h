#pragma once

#include "transport/http_limits.h"
#include "transport/transport_error.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace sardinelb {

class http_exchange;
class memory_budget;
class net_thread;
struct socket_address;

// HTTP/1.1 server with keep-alive. The server itself responds to a request that exceeds a limit or is not HTTP, with
// a body made by the rejection_body hook.
class http_server {
public:
    using handler = std::function<void(std::shared_ptr<http_exchange>)>;
    // Returns the body for rejecting a request with this HTTP status (400, 408, 413, 431 or 503) and explanation.
    using rejection_body = std::function<std::string(int status, const std::string& explanation)>;

    // Without a budget, connections use memory within the limits of one client only.
    http_server(net_thread&, http_limits, handler, rejection_body, std::shared_ptr<memory_budget> = nullptr);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    // Starts accepting connections. Returns the bound port. Error: BadAddress.
    transport_result<std::uint16_t> listen(const socket_address&);

    // Adds "Connection: close" to all later responses, so that clients disconnect between two requests.
    void closeAfterResponses();

    // Stops accepting connections and closes each open one after its current response. Call again until connections()
    // is 0: a new connection gets http_limits::firstRequestTimeout to send its first request.
    void drain();

    std::size_t connections() const;

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

}
