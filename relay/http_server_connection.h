#pragma once

#include "relay/eviction_reason.h"
#include "serving/caller_limits.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

namespace sardinelb {

class memory_budget;
struct http_request_message;

// The server side of one HTTP/1.1 connection. Serves one request at a time: the next one is parsed when the response to the
// one before has been written. Not safe for use from several threads.
class http_server_connection : public std::enable_shared_from_this<http_server_connection> {
public:
    struct hooks {
        // A complete request has arrived. The receiver responds with respond(), or with beginStream(), sendChunk() and endStream().
        std::function<void(const std::shared_ptr<http_server_connection>&, http_request_message&&)> onRequest;
        // A request that is malformed or exceeds a limit was rejected with this status, or its response was broken off (500)
        // because the receiver began a second one or continued one that had not begun.
        std::function<void(int status, const char* why)> onRejected;
        // The connection has ended.
        std::function<void(http_server_connection*)> onClosed;
        // The connection gives up its memory or its descriptor for others. May be empty.
        std::function<void(eviction_reason)> onEvicted;
    };

    // Without a budget, the connection uses memory within the limits of one caller only.
    http_server_connection(boost::asio::ip::tcp::socket, caller_limits, std::shared_ptr<const hooks>, std::shared_ptr<memory_budget> = nullptr);
    ~http_server_connection();

    void start();

    // Sets a function that is called once if the connection closes before the response is complete. Cleared when it is.
    void setDisconnectHandler(std::function<void()>);

    // Sends a complete response. `fields` are header lines, each terminated by CRLF.
    void respond(int status, std::string_view fields, std::string_view body);

    // Starts a chunked response.
    void beginStream(int status, std::string_view fields);
    void sendChunk(std::string_view part);
    void endStream();

    // Closes the connection in the middle of a response, so that the client does not take the response for complete.
    void abort();

    // Announces with the next response that the connection closes after it. A connection that is idle stays open.
    void announceClose();

    // Announces with the next response that the connection closes. Closes at once if no request is being read or served.
    void closeAfterResponse();

    // Bytes that have not been written to the socket yet.
    std::size_t unsentBytes() const;

    // Most bytes that may be unsent before the sender of a stream should pause.
    std::size_t maxUnsentBytes() const;

    // Reserves memory for a response that is collected before it is sent. Replaces the amount of the call before. Returns false if
    // there is none. A small response always has some, and the largest one may exceed the limit a little.
    bool reserveAnswer(std::size_t bytes);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

}
