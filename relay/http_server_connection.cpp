#include "relay/http_server_connection.h"

#include "relay/bounded_parse.h"
#include "relay/http_request_message.h"
#include "relay/incoming_body.h"
#include "relay/memory_budget.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>

namespace sardinelb {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t readSizeBytes = 4096;

// Bytes of pipelined requests that are buffered while the current request is served.
constexpr std::size_t maxReadAheadBytes = 65536;

// The connection is closed when the caller reads nothing for this time.
constexpr std::chrono::seconds writeTimeout { 10 };

// Buffers that are larger are freed once they are empty. Smaller ones are part of the memory of a connection.
constexpr std::size_t keptBufferBytes = 4096;

// Room for the field that states the length of a response.
constexpr std::size_t lengthFieldBytes = 48;

// From when on a stream pauses for a caller that reads slowly, without a budget.
constexpr std::size_t defaultMaxUnsentBytes = 262144;

// A response up to this length is always collected, because the work of its runner would be lost.
constexpr std::size_t smallAnswerBytes = 131072;

constexpr const char* noMemoryReason = "no memory is free for the request";

constexpr int requestTimeoutStatus = 408;
constexpr int unavailableStatus = 503;

constexpr int internalErrorStatus = 500;
constexpr int noContentStatus = 204;
constexpr int notModifiedStatus = 304;

time_point steadyTime()
{
    return time_point(std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

// Whether a response with this status has a body and states its length.
bool hasBody(int status)
{
    return status != noContentStatus && status != notModifiedStatus;
}

}

struct http_server_connection::implementation {
    enum class phase {
        // Waits for the first byte of the next request.
        Idle,
        Reading,
        // The request is complete; its response is pending or has begun.
        Serving,
        // The response is complete, but not all of it has been written.
        Flushing,
        Closed,
    };

    implementation(asio::ip::tcp::socket connected, caller_limits connectionLimits, std::shared_ptr<const hooks> handlers, std::shared_ptr<memory_budget> sharedBudget)
        : socket(std::move(connected))
        , limits(connectionLimits)
        , callbacks(std::move(handlers))
        , timer(socket.get_executor())
        , budget(std::move(sharedBudget))
    {
    }

    asio::ip::tcp::socket socket;
    caller_limits limits;
    std::shared_ptr<const hooks> callbacks;
    asio::steady_timer timer;
    // Receives the current read. A read is pending while `input` is parsed, so it must not write there.
    std::array<char, readSizeBytes> received {};
    boost::beast::flat_buffer input;
    std::optional<http::request_parser<incoming_body>> parser;
    // Null if there is none. The handle is valid while `isInBudget`.
    std::shared_ptr<memory_budget> budget;
    memory_budget::handle account;
    bool isInBudget = false;
    // Of the request that is being read.
    std::size_t headBytes = 0;
    time_point bodyProgressAt;
    std::size_t bytesSinceProgress = 0;
    phase currentPhase = phase::Idle;
    std::function<void()> onDisconnect;
    // Bytes of the current write, and bytes queued for the next one.
    std::string writing;
    std::size_t writtenBytes = 0;
    std::string queued;
    bool isWriting = false;
    bool isReading = false;
    bool isKeepAlive = true;
    bool isClosingAfterWrite = false;
    bool isStopping = false;
    bool isClosingAfterNextResponse = false;
    // Whether the current response tells the client that the connection closes after it.
    bool isCloseAnnounced = false;
    bool isHeadRequest = false;
    // A stream has begun and has not ended.
    bool isStreaming = false;
    // The request was rejected before its end. What else arrives is dropped.
    bool isRejected = false;

    void start(const std::shared_ptr<http_server_connection>&);
    void awaitRequest(const std::shared_ptr<http_server_connection>&);
    // Most bytes that the next read may take. Bytes of later requests wait in the socket if there is no memory for them.
    std::size_t maxReadBytes();
    void read(const std::shared_ptr<http_server_connection>&);
    void parse(const std::shared_ptr<http_server_connection>&);
    void serve(const std::shared_ptr<http_server_connection>&);
    void reject(const std::shared_ptr<http_server_connection>&, int status, const char* why);
    void startTimer(const std::shared_ptr<http_server_connection>&, duration);
    void onTimeout(const std::shared_ptr<http_server_connection>&);
    void startBodyTimer(const std::shared_ptr<http_server_connection>&);
    void recordBodyProgress(std::size_t receivedBytes);
    void write(const std::shared_ptr<http_server_connection>&, std::string bytes);
    void startWrite(const std::shared_ptr<http_server_connection>&);
    void writeSome(const std::shared_ptr<http_server_connection>&);
    void onWritten(const std::shared_ptr<http_server_connection>&, const error_code&);
    void openAccount(const std::shared_ptr<http_server_connection>&);
    void closeAccount();
    void enter(memory_budget::stage);
    bool reserve(memory_use, std::size_t bytes);
    // Reserves memory for parsing what has been read.
    bool reserveForInput();
    bool reserveAnswer(std::size_t bytes);
    void chargeUnsent();
    void releaseRequest();
    void onEvicted(const std::shared_ptr<http_server_connection>&, eviction_reason);
    void onResponseComplete(const std::shared_ptr<http_server_connection>&);
    bool canBeginResponse(http_server_connection*);
    bool canContinueStream(http_server_connection*);
    void closeMisused(http_server_connection*, const char* why);
    void close(http_server_connection*);
    std::string head(int status, std::string_view fields);
};

void http_server_connection::implementation::start(const std::shared_ptr<http_server_connection>& self)
{
    error_code ignored; // The connection works without TCP_NODELAY.
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    openAccount(self);
    awaitRequest(self);
}

void http_server_connection::implementation::openAccount(const std::shared_ptr<http_server_connection>& self)
{
    if (!budget)
        return;
    const std::weak_ptr<http_server_connection> weak = self;
    account = budget->open([weak](eviction_reason reason) {
        if (const auto connection = weak.lock())
            connection->m_implementation->onEvicted(connection, reason);
    },
        steadyTime());
    isInBudget = true;
    budget->charge(account, memory_use::Connection, memory_budget::connectionBytes, steadyTime());
}

void http_server_connection::implementation::closeAccount()
{
    if (isInBudget)
        budget->close(account);
    isInBudget = false;
}

void http_server_connection::implementation::enter(memory_budget::stage stage)
{
    if (isInBudget)
        budget->enter(account, stage, steadyTime());
}

bool http_server_connection::implementation::reserve(memory_use use, std::size_t bytes)
{
    return !isInBudget || budget->reserve(account, use, bytes, steadyTime());
}

bool http_server_connection::implementation::reserveForInput()
{
    if (!isInBudget)
        return true;
    if (!parser->is_header_done())
        return reserve(memory_use::Head, (headBytes + input.size()) * headMemoryFactor);
    const std::string& body = parser->get().body();
    return reserve(memory_use::Body, grownCapacity(body.capacity(), body.size() + input.size()));
}

bool http_server_connection::implementation::reserveAnswer(std::size_t bytes)
{
    if (!isInBudget)
        return true;
    const time_point now = steadyTime();
    if (bytes > smallAnswerBytes && budget->reserve(account, memory_use::Answer, bytes, now))
        return true;
    // The largest one may exceed the limit, because otherwise responses that wait for each other's memory would never end.
    if (bytes > smallAnswerBytes && !budget->mayOverdraw(account, memory_use::Answer, bytes))
        return false;
    budget->charge(account, memory_use::Answer, bytes, now);
    return true;
}

void http_server_connection::implementation::chargeUnsent()
{
    if (isInBudget)
        budget->charge(account, memory_use::Unsent, writing.size() + queued.size(), steadyTime());
}

// Frees what a request that has ended or was rejected has taken.
void http_server_connection::implementation::releaseRequest()
{
    if (!isInBudget)
        return;
    for (const memory_use use : { memory_use::Head, memory_use::Body, memory_use::Answer })
        budget->charge(account, use, 0, steadyTime());
}

void http_server_connection::implementation::onEvicted(const std::shared_ptr<http_server_connection>& self, eviction_reason reason)
{
    if (callbacks->onEvicted)
        callbacks->onEvicted(reason);
    if (currentPhase == phase::Reading && reason == eviction_reason::Stalled)
        reject(self, requestTimeoutStatus, "request timed out");
    else if (currentPhase == phase::Reading)
        reject(self, unavailableStatus, noMemoryReason);
    else if (currentPhase == phase::Idle)
        close(self.get());
    else
        // Not at once, because the end of a request may let others begin, and with them use the budget.
        asio::post(socket.get_executor(), [self] { self->m_implementation->close(self.get()); });
}

void http_server_connection::implementation::awaitRequest(const std::shared_ptr<http_server_connection>& self)
{
    if (isStopping) {
        close(self.get());
        return;
    }
    currentPhase = phase::Idle;
    isHeadRequest = false;
    headBytes = 0;
    releaseRequest();
    enter(memory_budget::stage::Idle);
    parser.emplace();
    parser->eager(true);
    parser->header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
    parser->body_limit(limits.maxBodyBytes);
    startTimer(self, limits.idleTimeout);
    if (input.size() > 0)
        parse(self);
    else
        read(self);
}

void http_server_connection::implementation::startTimer(const std::shared_ptr<http_server_connection>& self, duration time)
{
    timer.expires_after(time);
    timer.async_wait([self](const error_code& error) {
        if (!error)
            self->m_implementation->onTimeout(self);
    });
}

void http_server_connection::implementation::onTimeout(const std::shared_ptr<http_server_connection>& self)
{
    if (currentPhase == phase::Reading && parser->is_header_done() && steadyTime() - bodyProgressAt < limits.bodyStallTimeout)
        startBodyTimer(self);
    else if (currentPhase == phase::Reading)
        reject(self, requestTimeoutStatus, "request timed out");
    else if (currentPhase == phase::Idle || isWriting)
        close(self.get());
}

void http_server_connection::implementation::startBodyTimer(const std::shared_ptr<http_server_connection>& self)
{
    startTimer(self, bodyProgressAt + limits.bodyStallTimeout - steadyTime());
}

void http_server_connection::implementation::recordBodyProgress(std::size_t receivedBytes)
{
    bytesSinceProgress += receivedBytes;
    if (bytesSinceProgress < minProgressBytes)
        return;
    bytesSinceProgress = 0;
    bodyProgressAt = steadyTime();
    if (isInBudget)
        budget->recordProgress(account, bodyProgressAt);
}

std::size_t http_server_connection::implementation::maxReadBytes()
{
    const bool isServing = currentPhase == phase::Serving || currentPhase == phase::Flushing;
    if (!isInBudget || !isServing || input.size() == 0)
        return readSizeBytes;
    if (budget->tryReserve(account, memory_use::Head, headBytes * headMemoryFactor + input.capacity() + readSizeBytes))
        return readSizeBytes;
    // A caller that leaves is noticed only while a read is pending.
    return keptBufferBytes - std::min(keptBufferBytes, input.size());
}

void http_server_connection::implementation::read(const std::shared_ptr<http_server_connection>& self)
{
    if (isReading || currentPhase == phase::Closed || input.size() > maxReadAheadBytes + limits.maxHeaderBytes)
        return;
    if (input.size() == 0 && input.capacity() > keptBufferBytes)
        input.shrink_to_fit();
    const std::size_t maxBytes = maxReadBytes();
    if (maxBytes == 0)
        return;
    isReading = true;
    socket.async_read_some(asio::buffer(received, maxBytes), [self](const error_code& error, std::size_t count) {
        implementation& connection = *self->m_implementation;
        connection.isReading = false;
        if (connection.currentPhase == phase::Closed)
            return;
        if (error) {
            connection.close(self.get());
            return;
        }
        if (connection.isRejected) {
            connection.read(self);
            return;
        }
        asio::buffer_copy(connection.input.prepare(count), asio::buffer(connection.received, count));
        connection.input.commit(count);
        connection.recordBodyProgress(count);
        // Bytes of the next request stay buffered until the current one is done.
        if (connection.currentPhase == phase::Idle || connection.currentPhase == phase::Reading)
            connection.parse(self);
        else
            connection.read(self);
    });
}

void http_server_connection::implementation::parse(const std::shared_ptr<http_server_connection>& self)
{
    if (currentPhase == phase::Idle) {
        currentPhase = phase::Reading;
        enter(memory_budget::stage::Receiving);
        startTimer(self, limits.headerTimeout);
    }
    while (input.size() > 0 && !parser->is_done()) {
        const bool wasHeaderDone = parser->is_header_done();
        if (!reserveForInput()) {
            reject(self, unavailableStatus, noMemoryReason);
            return;
        }
        error_code error;
        const std::size_t maxUnitBytes = wasHeaderDone ? maxFramingBytes : std::max(maxFramingBytes, limits.maxHeaderBytes);
        const std::size_t consumedBytes = parseBounded(*parser, input, maxUnitBytes, error);
        if (error == http::error::header_limit) {
            reject(self, 431, "request header fields are too large");
            return;
        }
        if (error == http::error::body_limit) {
            reject(self, 413, "request body is too large");
            return;
        }
        if (error) {
            reject(self, 400, "malformed HTTP request");
            return;
        }
        if (!wasHeaderDone)
            headBytes += consumedBytes;
        if (!wasHeaderDone && parser->is_header_done()) {
            bodyProgressAt = steadyTime();
            startBodyTimer(self);
            if (isInBudget)
                budget->charge(account, memory_use::Head, headBytes * headMemoryFactor, bodyProgressAt);
        }
        if (consumedBytes == 0)
            break;
    }
    if (parser->is_done())
        serve(self);
    else
        read(self);
}

void http_server_connection::implementation::serve(const std::shared_ptr<http_server_connection>& self)
{
    timer.cancel();
    auto message = parser->release();
    const auto transferEncoding = message.find(http::field::transfer_encoding);
    const bool hasContentLength = message.find(http::field::content_length) != message.end();
    if (hasContentLength && transferEncoding != message.end()) {
        reject(self, 400, "request has both Content-Length and Transfer-Encoding");
        return;
    }
    // The length of a body with any other transfer coding is unknown, so the bytes after it could be misread as a request.
    if (transferEncoding != message.end() && !boost::beast::iequals(transferEncoding->value(), "chunked")) {
        reject(self, 400, "unsupported Transfer-Encoding; only chunked is accepted");
        return;
    }
    if (message.version() == 11 && message.count(http::field::host) != 1) {
        reject(self, 400, "HTTP/1.1 request must have exactly one Host header");
        return;
    }
    // A runner gets a copy of the body, and the original is kept for another attempt.
    if (!reserve(memory_use::Body, message.body().capacity() + message.body().size())) {
        reject(self, unavailableStatus, noMemoryReason);
        return;
    }
    enter(memory_budget::stage::Serving);
    currentPhase = phase::Serving;
    isKeepAlive = message.keep_alive();
    isHeadRequest = message.method() == http::verb::head;
    http_request_message request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message)
        request.fields.push_back({ std::string(field.name_string()), std::string(field.value()) });
    request.body = std::move(message.body());
    read(self);
    callbacks->onRequest(self, std::move(request));
}

void http_server_connection::implementation::reject(const std::shared_ptr<http_server_connection>& self, int status, const char* why)
{
    currentPhase = phase::Serving;
    isKeepAlive = false;
    isRejected = true;
    parser.reset();
    input.clear();
    input.shrink_to_fit();
    releaseRequest();
    callbacks->onRejected(status, why);
    self->respond(status, status == unavailableStatus ? "Content-Type: text/plain\r\nRetry-After: 1\r\n" : "Content-Type: text/plain\r\n", why);
}

std::string http_server_connection::implementation::head(int status, std::string_view fields)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
    text += std::string_view(http::obsolete_reason(static_cast<http::status>(status)));
    text += "\r\n";
    text += fields;
    isCloseAnnounced = !isKeepAlive || isStopping || isClosingAfterNextResponse;
    if (isCloseAnnounced)
        text += "Connection: close\r\n";
    return text;
}

void http_server_connection::implementation::write(const std::shared_ptr<http_server_connection>& self, std::string bytes)
{
    if (currentPhase == phase::Closed)
        return;
    if (queued.empty()) {
        queued = std::move(bytes);
    } else {
        queued.reserve(grownCapacity(queued.capacity(), queued.size() + bytes.size()));
        queued += bytes;
    }
    if (!isWriting)
        startWrite(self);
    chargeUnsent();
}

void http_server_connection::implementation::startWrite(const std::shared_ptr<http_server_connection>& self)
{
    isWriting = true;
    writing = std::move(queued);
    queued.clear();
    writtenBytes = 0;
    enter(memory_budget::stage::Sending);
    startTimer(self, writeTimeout);
    writeSome(self);
}

void http_server_connection::implementation::writeSome(const std::shared_ptr<http_server_connection>& self)
{
    socket.async_write_some(asio::buffer(writing) + writtenBytes, [self](const error_code& error, std::size_t count) {
        implementation& connection = *self->m_implementation;
        connection.writtenBytes += count;
        if (error || connection.currentPhase == phase::Closed || connection.writtenBytes >= connection.writing.size()) {
            connection.onWritten(self, error);
            return;
        }
        if (connection.isInBudget)
            connection.budget->recordProgress(connection.account, steadyTime());
        connection.startTimer(self, writeTimeout);
        connection.writeSome(self);
    });
}

void http_server_connection::implementation::onWritten(const std::shared_ptr<http_server_connection>& self, const error_code& error)
{
    isWriting = false;
    writing.clear();
    if (writing.capacity() > keptBufferBytes)
        writing.shrink_to_fit();
    if (currentPhase == phase::Closed)
        return;
    if (error) {
        close(self.get());
        return;
    }
    chargeUnsent();
    if (!queued.empty()) {
        startWrite(self);
        return;
    }
    timer.cancel();
    enter(memory_budget::stage::Serving);
    if (isClosingAfterWrite)
        close(self.get());
    else if (currentPhase == phase::Flushing)
        awaitRequest(self);
}

void http_server_connection::implementation::onResponseComplete(const std::shared_ptr<http_server_connection>& self)
{
    onDisconnect = nullptr;
    if (currentPhase == phase::Closed)
        return;
    releaseRequest();
    if (isCloseAnnounced || isStopping)
        isClosingAfterWrite = true;
    // onWritten() starts reading the next request once the whole response has been written.
    currentPhase = phase::Flushing;
    if (isWriting)
        return;
    if (isClosingAfterWrite)
        close(self.get());
    else
        awaitRequest(self);
}

bool http_server_connection::implementation::canBeginResponse(http_server_connection* self)
{
    if (currentPhase != phase::Serving)
        return false;
    if (isStreaming)
        closeMisused(self, "a second response was begun before the end of the first");
    return !isStreaming;
}

bool http_server_connection::implementation::canContinueStream(http_server_connection* self)
{
    if (currentPhase != phase::Serving)
        return false;
    if (!isStreaming)
        closeMisused(self, "a stream was continued that has not begun");
    return isStreaming;
}

// Ends a response that cannot be continued, so that the caller does not take what it got for complete.
void http_server_connection::implementation::closeMisused(http_server_connection* self, const char* why)
{
    callbacks->onRejected(internalErrorStatus, why);
    self->abort();
}

void http_server_connection::implementation::close(http_server_connection* self)
{
    if (currentPhase == phase::Closed)
        return;
    currentPhase = phase::Closed;
    closeAccount();
    std::string().swap(queued);
    timer.cancel();
    error_code ignored; // The peer may have closed the connection first.
    socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    socket.close(ignored);
    const auto disconnectHandler = std::exchange(onDisconnect, nullptr);
    if (disconnectHandler)
        disconnectHandler();
    callbacks->onClosed(self);
}

http_server_connection::http_server_connection(asio::ip::tcp::socket socket, caller_limits limits, std::shared_ptr<const hooks> callbacks, std::shared_ptr<memory_budget> budget)
    : m_implementation(std::make_unique<implementation>(std::move(socket), limits, std::move(callbacks), std::move(budget)))
{
}

http_server_connection::~http_server_connection() = default;

void http_server_connection::start()
{
    m_implementation->start(shared_from_this());
}

void http_server_connection::setDisconnectHandler(std::function<void()> onDisconnect)
{
    m_implementation->onDisconnect = std::move(onDisconnect);
}

void http_server_connection::respond(int status, std::string_view fields, std::string_view body)
{
    if (!m_implementation->canBeginResponse(this))
        return;
    const auto self = shared_from_this();
    std::string text = m_implementation->head(status, fields);
    text.reserve(text.size() + body.size() + lengthFieldBytes);
    if (!hasBody(status))
        text += "\r\n";
    else
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    if (hasBody(status) && !m_implementation->isHeadRequest)
        text += body;
    m_implementation->write(self, std::move(text));
    m_implementation->onResponseComplete(self);
}

void http_server_connection::beginStream(int status, std::string_view fields)
{
    if (!m_implementation->canBeginResponse(this))
        return;
    m_implementation->isStreaming = true;
    m_implementation->write(shared_from_this(), m_implementation->head(status, fields) + "Transfer-Encoding: chunked\r\n\r\n");
}

void http_server_connection::sendChunk(std::string_view part)
{
    if (part.empty() || !m_implementation->canContinueStream(this))
        return;
    std::array<char, 16> size {};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), part.size(), 16).ptr;
    if (m_implementation->isHeadRequest)
        return;
    std::string chunk;
    chunk.reserve(part.size() + size.size() + 4);
    chunk.append(size.data(), end);
    chunk.append("\r\n").append(part).append("\r\n");
    m_implementation->write(shared_from_this(), std::move(chunk));
}

void http_server_connection::endStream()
{
    if (!m_implementation->canContinueStream(this))
        return;
    m_implementation->isStreaming = false;
    const auto self = shared_from_this();
    if (!m_implementation->isHeadRequest)
        m_implementation->write(self, "0\r\n\r\n");
    m_implementation->onResponseComplete(self);
}

void http_server_connection::abort()
{
    m_implementation->onDisconnect = nullptr;
    m_implementation->close(this);
}

void http_server_connection::announceClose()
{
    m_implementation->isClosingAfterNextResponse = true;
}

void http_server_connection::closeAfterResponse()
{
    m_implementation->isStopping = true;
    if (m_implementation->currentPhase == implementation::phase::Idle)
        m_implementation->close(this);
}

std::size_t http_server_connection::maxUnsentBytes() const
{
    return m_implementation->isInBudget ? m_implementation->budget->maxUnsentBytes() : defaultMaxUnsentBytes;
}

bool http_server_connection::reserveAnswer(std::size_t bytes)
{
    return m_implementation->reserveAnswer(bytes);
}

std::size_t http_server_connection::unsentBytes() const
{
    return m_implementation->writing.size() + m_implementation->queued.size();
}

}
