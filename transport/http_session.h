#pragma once

#include "relay/incoming_body.h"
#include "transport/http_limits.h"
#include "transport/http_server.h"
#include "transport/session_memory.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace sardinelb {

class http_exchange;

// One connection of an HTTP server. Internal to the transport layer.
class http_session : public std::enable_shared_from_this<http_session> {
public:
    http_session(boost::beast::tcp_stream, http_limits, http_server::handler, http_server::rejection_body, std::shared_ptr<memory_budget>);

    // Serves requests until the connection ends.
    boost::asio::awaitable<void> run();

    // Adds "Connection: close" to the next response and closes the connection after it.
    void closeAfterResponse();

    // Closes the connection after the current response, if any. A request that has already arrived is served first. A
    // connection that has sent no request is kept open for http_limits::firstRequestTimeout, because its first
    // request may be in transit. Call again until the connection is closed.
    void drain();

private:
    using request_parser = boost::beast::http::request_parser<incoming_body>;

    boost::asio::awaitable<bool> readRequest(request_parser&);
    // Reads until the request is complete. Returns an error, or sets m_rejectionStatus.
    boost::asio::awaitable<boost::system::error_code> readMessage(request_parser&);
    boost::system::error_code parseInput(request_parser&, bool& needsInput);
    bool reserveForInput(const request_parser&);
    void recordRequestProgress(std::size_t receivedBytes);
    void releaseRequest();
    void onEvicted(eviction_reason);
    void startRequestTimer();
    bool hasNextRequestArrived();
    boost::asio::awaitable<void> reject(int status, const std::string& explanation);
    boost::asio::awaitable<bool> serve(const std::shared_ptr<http_exchange>&, bool keepAlive);
    boost::asio::awaitable<bool> writeOutputs(http_exchange&, bool keepAlive, bool& ended);
    boost::asio::awaitable<bool> writeBytes(const std::string&);
    boost::asio::awaitable<void> watchForClose(std::weak_ptr<http_exchange>);
    void wake();

    boost::beast::tcp_stream m_stream;
    http_limits m_limits;
    http_server::handler m_handler;
    http_server::rejection_body m_rejectionBody;
    session_memory m_memory;
    // The request that is being read; null between requests.
    request_parser* m_incoming = nullptr;
    // Bytes of the head of the current request, and of the request since its last progress.
    std::size_t m_headBytes = 0;
    std::size_t m_bytesSinceProgress = 0;
    // Status for a request that gives way to others, or 0.
    int m_rejectionStatus = 0;
    bool m_isEvicted = false;
    boost::beast::flat_buffer m_buffer;
    boost::asio::steady_timer m_outputReady;
    boost::asio::steady_timer m_requestDeadline;
    bool m_isReadingRequest = false;
    bool m_requestTimedOut = false;
    std::chrono::steady_clock::time_point m_opened = std::chrono::steady_clock::now();
    bool m_hasReceivedRequest = false;
    // Whether the current request is a HEAD request, whose response has no body.
    bool m_isHeadRequest = false;
    bool m_closeAfterResponse = false;
    // Whether the current response has the header "Connection: close".
    bool m_hasAnnouncedClose = false;
    bool m_isDraining = false;
    bool m_isBetweenRequests = true;
    bool m_hasPeerClosed = false;
};

}
