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
class net_thread;
struct socket_address;

// HTTP/1.1 server with keep-alive. A request that breaks a limit or is not HTTP is answered by the server itself, with the
// body that the `refuse` hook makes.
class http_server {
public:
    using handler = std::function<void(std::shared_ptr<http_exchange>)>;
    // Body for a refusal with this HTTP status (400, 408, 413, 431 or 503) and explanation.
    using refusal_body = std::function<std::string(int status, const std::string& explanation)>;

    http_server(net_thread&, http_limits, handler, refusal_body);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    // Starts to accept connections. Returns the bound port. Error: BadAddress.
    transport_result<std::uint16_t> listen(const socket_address&);

    // Announces with every later answer that its connection closes, so that callers leave between two requests.
    void closeAfterResponses();

    // Stops accepting. Open connections are closed once their current answer has ended. Call again until connections()
    // is 0: a new connection gets a moment to send its first request.
    void drain();

    std::size_t connections() const;

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

}
