#include "transport/http_session.h"

#include "relay/bounded_parse.h"
#include "transport/http_exchange.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace sardinelb {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr int requestTimeoutStatus = 408;
constexpr int unavailableStatus = 503;

// A body is kept while it is served, beside the message that is decoded from it and the one that goes to an agent.
constexpr std::size_t servedBodyFactor = 3;

constexpr std::size_t readSizeBytes = 4096;

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

std::string responseHead(
    int status, const std::string& contentType, const http_exchange::headers& extra, const std::string& framing)
{
    const auto reason = http::obsolete_reason(http::int_to_status(static_cast<unsigned>(status)));
    std::string head = "HTTP/1.1 " + std::to_string(status) + " " + std::string(reason) + "\r\n";
    head.append("Content-Type: ").append(contentType).append("\r\n").append(framing);
    for (const auto& [name, value] : extra)
        head.append(name).append(": ").append(value).append("\r\n");
    return head;
}

std::string connectionHeader(bool keepAlive)
{
    return keepAlive ? "" : "Connection: close\r\n";
}

std::string chunkText(const std::string& bytes)
{
    constexpr std::size_t hexDigits = 16;
    std::array<char, hexDigits + 1> size {};
    std::snprintf(size.data(), size.size(), "%zx", bytes.size());
    return std::string(size.data()) + "\r\n" + bytes + "\r\n";
}

std::pair<int, std::string> rejectionFor(const beast::error_code& error)
{
    if (error == http::error::header_limit || error == http::error::buffer_overflow)
        return { 431, "the request header exceeds the limit" };
    if (error == http::error::body_limit)
        return { 413, "the request body exceeds the limit" };
    if (error == beast::error::timeout)
        return { 408, "the request did not arrive in time" };
    return { 400, "not a valid HTTP request" };
}

bool isPeerGone(const beast::error_code& error)
{
    return error == http::error::end_of_stream || error == asio::error::connection_reset
        || error == asio::error::operation_aborted || error == asio::error::broken_pipe;
}

}

http_session::http_session(beast::tcp_stream stream, http_limits limits, http_server::handler handler,
    http_server::rejection_body rejectionBody, std::shared_ptr<memory_budget> budget)
    : m_stream(std::move(stream))
    , m_limits(limits)
    , m_handler(std::move(handler))
    , m_rejectionBody(std::move(rejectionBody))
    , m_memory(std::move(budget), [this](eviction_reason reason) { onEvicted(reason); })
    , m_buffer(std::max(limits.maxHeaderBytes, maxFramingBytes) + readSizeBytes)
    , m_outputReady(m_stream.get_executor())
    , m_requestDeadline(m_stream.get_executor())
{
}

asio::awaitable<void> http_session::run()
{
    const auto self = shared_from_this();
    boost::system::error_code ignored;
    m_stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    bool open = true;
    // The first request of a connection accepted while the server drains is still served.
    while (open && !m_isEvicted && (!m_isDraining || !m_hasReceivedRequest || hasNextRequestArrived())) {
        request_parser parser;
        parser.header_limit(static_cast<std::uint32_t>(m_limits.maxHeaderBytes));
        parser.body_limit(m_limits.maxBodyBytes);
        if (!co_await readRequest(parser))
            break;
        auto& message = parser.get();
        http_request request { std::string(message.method_string()), std::string(message.target()),
            std::string(message[http::field::authorization]), std::string(message["Idempotency-Key"]),
            std::string(message[http::field::content_type]), std::move(message.body()) };
        m_hasReceivedRequest = true;
        m_isHeadRequest = message.method() == http::verb::head;
        const auto exchange = std::make_shared<http_exchange>(std::move(request));
        open = co_await serve(exchange, message.keep_alive());
        releaseRequest();
    }
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    m_stream.close();
}

asio::awaitable<bool> http_session::readRequest(request_parser& parser)
{
    m_isBetweenRequests = true;
    m_memory.enter(memory_budget::stage::Idle);
    if (m_buffer.size() == 0) {
        m_stream.expires_after(m_limits.idleTimeout);
        auto [waitError, bytes] = co_await m_stream.async_read_some(m_buffer.prepare(readSizeBytes), asTuple);
        if (waitError)
            co_return false;
        m_buffer.commit(bytes);
    }
    m_isBetweenRequests = false;
    // A stream timeout would close the socket, so that no error response could be sent.
    m_stream.expires_never();
    startRequestTimer();
    m_memory.enter(memory_budget::stage::Receiving);
    m_headBytes = 0;
    m_rejectionStatus = 0;
    m_incoming = &parser;
    const boost::system::error_code error = co_await readMessage(parser);
    m_incoming = nullptr;
    m_isReadingRequest = false;
    m_requestDeadline.cancel();
    if (!error && m_rejectionStatus == 0) {
        m_memory.enter(memory_budget::stage::Serving);
        co_return true;
    }
    // Frees the body before the response is written.
    std::string().swap(parser.get().body());
    releaseRequest();
    if (m_rejectionStatus != 0)
        co_await reject(m_rejectionStatus, m_rejectionStatus == requestTimeoutStatus ? "the request did not arrive in time" : "no memory is free for the request");
    else if (m_requestTimedOut || !isPeerGone(error)) {
        const auto [status, explanation] = rejectionFor(m_requestTimedOut ? beast::error::timeout : error);
        co_await reject(status, explanation);
    }
    co_return false;
}

asio::awaitable<boost::system::error_code> http_session::readMessage(request_parser& parser)
{
    parser.eager(true);
    bool needsInput = m_buffer.size() == 0;
    while (true) {
        if (needsInput) {
            auto [error, bytes] = co_await m_stream.async_read_some(m_buffer.prepare(readSizeBytes), asTuple);
            if (m_rejectionStatus != 0)
                co_return boost::system::error_code();
            if (error == asio::error::eof)
                co_return parser.got_some() || m_buffer.size() > 0 ? http::error::partial_message : http::error::end_of_stream;
            if (error)
                co_return error;
            m_buffer.commit(bytes);
            recordRequestProgress(bytes);
        }
        const boost::system::error_code error = parseInput(parser, needsInput);
        if (error || m_rejectionStatus != 0 || parser.is_done())
            co_return error;
    }
}

// Parses what has been read, for which memory is reserved first.
boost::system::error_code http_session::parseInput(request_parser& parser, bool& needsInput)
{
    needsInput = m_buffer.size() == 0;
    while (!needsInput && !parser.is_done()) {
        if (!reserveForInput(parser)) {
            m_rejectionStatus = unavailableStatus;
            return {};
        }
        const bool wasHeaderDone = parser.is_header_done();
        const std::size_t maxUnitBytes = wasHeaderDone ? maxFramingBytes : std::max(maxFramingBytes, m_limits.maxHeaderBytes);
        boost::system::error_code error;
        const std::size_t consumedBytes = parseBounded(parser, m_buffer, maxUnitBytes, error);
        if (error)
            return error;
        if (!wasHeaderDone)
            m_headBytes += consumedBytes;
        if (!wasHeaderDone && parser.is_header_done())
            m_memory.charge(memory_use::Head, m_headBytes * headMemoryFactor);
        needsInput = consumedBytes == 0 || m_buffer.size() == 0;
    }
    if (parser.is_done() && !m_memory.reserve(memory_use::Body, parser.get().body().capacity() * servedBodyFactor))
        m_rejectionStatus = unavailableStatus;
    return {};
}

bool http_session::reserveForInput(const request_parser& parser)
{
    if (!parser.is_header_done())
        return m_memory.reserve(memory_use::Head, (m_headBytes + m_buffer.size()) * headMemoryFactor);
    const std::string& body = parser.get().body();
    return m_memory.reserve(memory_use::Body, grownCapacity(body.capacity(), body.size() + m_buffer.size()));
}

void http_session::recordRequestProgress(std::size_t receivedBytes)
{
    m_bytesSinceProgress += receivedBytes;
    if (m_bytesSinceProgress < minProgressBytes)
        return;
    m_bytesSinceProgress = 0;
    m_memory.recordProgress();
}

void http_session::releaseRequest()
{
    for (const memory_use use : { memory_use::Head, memory_use::Body, memory_use::Unsent })
        m_memory.charge(use, 0);
}

void http_session::onEvicted(eviction_reason reason)
{
    m_isEvicted = true;
    if (m_incoming) {
        m_rejectionStatus = reason == eviction_reason::Stalled ? requestTimeoutStatus : unavailableStatus;
        // At once, because others use the memory before the read is cancelled.
        std::string().swap(m_incoming->get().body());
    }
    m_stream.cancel();
}

void http_session::startRequestTimer()
{
    m_isReadingRequest = true;
    m_requestTimedOut = false;
    m_requestDeadline.expires_after(m_limits.requestTimeout);
    m_requestDeadline.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
        // The timer may have expired just before it was cancelled or restarted.
        const bool stale = self->m_requestDeadline.expiry() > std::chrono::steady_clock::now();
        if (error || stale || !self->m_isReadingRequest)
            return;
        self->m_requestTimedOut = true;
        self->m_stream.cancel();
    });
}

bool http_session::hasNextRequestArrived()
{
    boost::system::error_code ignored;
    return m_buffer.size() > 0 || m_stream.socket().available(ignored) > 0;
}

asio::awaitable<void> http_session::reject(int status, const std::string& explanation)
{
    const std::string body = m_rejectionBody(status, explanation);
    const std::string framing = "Content-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n";
    if (!co_await writeBytes(responseHead(status, "application/json", {}, framing) + "\r\n" + body))
        co_return;
    // Reads what the peer has already sent: closing with unread data resets the connection, and the peer may lose the
    // response.
    boost::system::error_code ignored;
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_stream.expires_after(std::chrono::seconds(1));
    std::array<char, 4096> discarded {};
    constexpr std::size_t maxDiscardedBytes = 4U << 20U;
    std::size_t total = 0;
    while (total < maxDiscardedBytes) {
        auto [error, bytes] = co_await m_stream.async_read_some(asio::buffer(discarded), asTuple);
        if (error)
            break;
        total += bytes;
    }
}

asio::awaitable<bool> http_session::serve(const std::shared_ptr<http_exchange>& exchange, bool keepAlive)
{
    m_hasPeerClosed = false;
    exchange->m_wakeSession = [weak = weak_from_this()] {
        if (const auto session = weak.lock())
            session->wake();
    };
    asio::co_spawn(
        m_stream.get_executor(),
        [self = shared_from_this(), weak = std::weak_ptr<http_exchange>(exchange)] { return self->watchForClose(weak); },
        asio::detached);
    m_handler(exchange);
    bool ended = false;
    bool open = true;
    while (open && !ended && !m_hasPeerClosed) {
        if (exchange->m_outputs.empty()) {
            m_outputReady.expires_at(std::chrono::steady_clock::time_point::max());
            co_await m_outputReady.async_wait(asTuple);
            continue;
        }
        open = co_await writeOutputs(*exchange, keepAlive, ended);
    }
    exchange->m_wakeSession = nullptr;
    boost::system::error_code ignored;
    m_stream.socket().cancel(ignored);
    if (!ended && exchange->onClosed)
        exchange->onClosed();
    exchange->onClosed = nullptr;
    exchange->onWritten = nullptr;
    co_return open&& ended && !m_hasAnnouncedClose;
}

// Writes all queued output, in one system call if possible.
asio::awaitable<bool> http_session::writeOutputs(http_exchange& exchange, bool keepAlive, bool& ended)
{
    std::string bytes;
    std::size_t payload = 0;
    bool aborted = false;
    while (!exchange.m_outputs.empty() && !ended && !aborted) {
        const http_exchange::output next = std::move(exchange.m_outputs.front());
        exchange.m_outputs.pop_front();
        const bool startsResponse
            = next.kind == http_exchange::output_kind::Complete || next.kind == http_exchange::output_kind::Head;
        if (startsResponse)
            m_hasAnnouncedClose = !keepAlive || m_closeAfterResponse || m_isDraining;
        const std::string connection = connectionHeader(!m_hasAnnouncedClose);
        switch (next.kind) {
        case http_exchange::output_kind::Complete:
            bytes += responseHead(next.status, next.contentType, next.extraHeaders,
                         "Content-Length: " + std::to_string(next.bytes.size()) + "\r\n" + connection)
                + "\r\n" + (m_isHeadRequest ? std::string() : next.bytes);
            ended = true;
            break;
        case http_exchange::output_kind::Head:
            bytes += responseHead(next.status, next.contentType, next.extraHeaders,
                         "Transfer-Encoding: chunked\r\n" + connection)
                + "\r\n";
            break;
        case http_exchange::output_kind::Bytes:
            payload += next.bytes.size();
            if (!next.bytes.empty() && !m_isHeadRequest)
                bytes += chunkText(next.bytes);
            break;
        case http_exchange::output_kind::End:
            bytes += m_isHeadRequest ? "" : "0\r\n\r\n";
            ended = true;
            break;
        case http_exchange::output_kind::Abort:
            aborted = true;
            break;
        }
    }
    const bool written = co_await writeBytes(bytes);
    if (written && payload > 0 && exchange.onWritten)
        exchange.onWritten(payload);
    // An aborted response counts as ended, so that the handler that aborted it gets no onClosed call.
    ended = ended || aborted;
    co_return written && !aborted;
}

asio::awaitable<bool> http_session::writeBytes(const std::string& bytes)
{
    if (bytes.empty())
        co_return true;
    m_memory.charge(memory_use::Unsent, bytes.size());
    m_memory.enter(memory_budget::stage::Sending);
    m_stream.expires_after(m_limits.writeTimeout);
    std::size_t sentBytes = 0;
    boost::system::error_code failure;
    while (sentBytes < bytes.size() && !failure) {
        auto [error, written] = co_await m_stream.async_write_some(asio::buffer(bytes) + sentBytes, asTuple);
        failure = error;
        sentBytes += written;
        m_memory.recordProgress();
    }
    m_stream.expires_never();
    m_memory.enter(memory_budget::stage::Serving);
    m_memory.charge(memory_use::Unsent, 0);
    co_return !failure;
}

// Detects that the client closes the connection before its response is complete. Arriving data is the start of the
// next request and is not read here.
asio::awaitable<void> http_session::watchForClose(std::weak_ptr<http_exchange> weak)
{
    auto [error] = co_await m_stream.socket().async_wait(asio::ip::tcp::socket::wait_read, asTuple);
    if (error || weak.expired())
        co_return;
    char byte = 0;
    boost::system::error_code peekError;
    const std::size_t bytes = m_stream.socket().receive(
        asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek, peekError);
    if (bytes > 0 || peekError == asio::error::would_block)
        co_return;
    m_hasPeerClosed = true;
    wake();
}

void http_session::wake()
{
    m_outputReady.cancel();
}

void http_session::closeAfterResponse()
{
    m_closeAfterResponse = true;
}

void http_session::drain()
{
    m_isDraining = true;
    const bool awaitsFirstRequest = !m_hasReceivedRequest && std::chrono::steady_clock::now() - m_opened < m_limits.firstRequestTimeout;
    if (m_isBetweenRequests && !hasNextRequestArrived() && !awaitsFirstRequest)
        m_stream.cancel();
}

}
