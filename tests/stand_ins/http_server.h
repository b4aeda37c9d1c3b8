#pragma once

#include <cstdint>
#include <functional>
#include <memory>

namespace sardinelb::stand_ins {

class event_loop;
class http_exchange;

// Serves a request. callHandler() turns an exception into a response with status 400 and its message.
using http_handler = std::function<void(const std::shared_ptr<http_exchange>&)>;

// Calls the handler and turns an exception into an error response. Code that calls a handler outside the call from the
// connection, such as a timer, must use this function, because the exception would leave the event loop.
void callHandler(const http_handler&, const std::shared_ptr<http_exchange>&);

// Serves HTTP/1.1 with keep-alive on 127.0.0.1; port 0 picks a free port. Prints the line
// "listening on 127.0.0.1:PORT" once the port accepts connections. Throws boost::system::system_error if the port
// cannot be bound.
void serveHttp(event_loop&, std::uint16_t port, http_handler);

}
