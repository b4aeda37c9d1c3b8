#include "relay/caller_connection.h"

#include "relay/http_request_message.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <charconv>
#include <optional>
#include <utility>

namespace sardinelb {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t readBytes = 4096;

// While a request is served, the caller may send the next one; no more than this of it is read.
constexpr std::size_t mostReadAhead = 65536;

// Time for the body of a request to arrive after its header.
constexpr std::chrono::seconds bodyTimeout { 10 };

// Time after which a caller that takes none of its answer is given up.
constexpr std::chrono::seconds writeTimeout { 10 };

}

struct caller_connection::implementation {
    enum class phase {
        // No byte of the next request has arrived.
        Idle,
        Reading,
        // A request is being served.
        Serving,
        Closed,
    };

    implementation(asio::ip::tcp::socket connected, caller_limits bounds, std::shared_ptr<const hooks> receivers)
        : socket(std::move(connected))
        , limits(bounds)
        , events(std::move(receivers))
        , timer(socket.get_executor())
    {
    }

    asio::ip::tcp::socket socket;
    caller_limits limits;
    std::shared_ptr<const hooks> events;
    asio::steady_timer timer;
    boost::beast::flat_buffer input;
    std::optional<http::request_parser<http::string_body>> parser;
    phase now = phase::Idle;
    std::function<void()> callerLeft;
    // Bytes being written, and those that follow.
    std::string writing;
    std::string queued;
    bool isWriting = false;
    bool isReading = false;
    bool keepsAlive = true;
    bool closesAfterWrite = false;
    bool isStopping = false;
    bool isHeadRequest = false;

    void start(const std::shared_ptr<caller_connection>&);
    void expectRequest(const std::shared_ptr<caller_connection>&);
    void read(const std::shared_ptr<caller_connection>&);
    void parse(const std::shared_ptr<caller_connection>&);
    void serve(const std::shared_ptr<caller_connection>&);
    void refuse(const std::shared_ptr<caller_connection>&, int status, const char* why);
    void limitTime(const std::shared_ptr<caller_connection>&, duration);
    void timedOut(const std::shared_ptr<caller_connection>&);
    void write(const std::shared_ptr<caller_connection>&, std::string_view bytes);
    void writeQueued(const std::shared_ptr<caller_connection>&);
    void written(const std::shared_ptr<caller_connection>&, const error_code&);
    void answerEnded(const std::shared_ptr<caller_connection>&);
    void close(caller_connection*);
    std::string head(int status, std::string_view fields) const;
};

void caller_connection::implementation::start(const std::shared_ptr<caller_connection>& self)
{
    error_code ignored; // A socket without this option still works.
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    expectRequest(self);
}

void caller_connection::implementation::expectRequest(const std::shared_ptr<caller_connection>& self)
{
    if (isStopping) {
        close(self.get());
        return;
    }
    now = phase::Idle;
    parser.emplace();
    parser->eager(true);
    parser->header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
    parser->body_limit(limits.maxBodyBytes);
    limitTime(self, limits.idleTimeout);
    if (input.size() > 0)
        parse(self);
    else
        read(self);
}

void caller_connection::implementation::limitTime(const std::shared_ptr<caller_connection>& self, duration time)
{
    timer.expires_after(time);
    timer.async_wait([self](const error_code& error) {
        if (!error)
            self->m_implementation->timedOut(self);
    });
}

void caller_connection::implementation::timedOut(const std::shared_ptr<caller_connection>& self)
{
    if (now == phase::Reading)
        refuse(self, 408, "the request did not arrive in time");
    else if (now == phase::Idle || isWriting)
        close(self.get());
}

void caller_connection::implementation::read(const std::shared_ptr<caller_connection>& self)
{
    if (isReading || now == phase::Closed || input.size() > mostReadAhead + limits.maxHeaderBytes)
        return;
    isReading = true;
    socket.async_read_some(input.prepare(readBytes), [self](const error_code& error, std::size_t count) {
        implementation& connection = *self->m_implementation;
        connection.isReading = false;
        if (connection.now == phase::Closed)
            return;
        if (error) {
            connection.close(self.get());
            return;
        }
        connection.input.commit(count);
        if (connection.now == phase::Serving)
            connection.read(self);
        else
            connection.parse(self);
    });
}

void caller_connection::implementation::parse(const std::shared_ptr<caller_connection>& self)
{
    if (now == phase::Idle) {
        now = phase::Reading;
        limitTime(self, limits.headerTimeout);
    }
    while (input.size() > 0 && !parser->is_done()) {
        const bool hadHeader = parser->is_header_done();
        error_code error;
        const std::size_t used = parser->put(input.data(), error);
        input.consume(used);
        if (error == http::error::need_more)
            error = {};
        if (error == http::error::header_limit) {
            refuse(self, 431, "the header is larger than allowed");
            return;
        }
        if (error == http::error::body_limit) {
            refuse(self, 413, "the body is larger than allowed");
            return;
        }
        if (error) {
            refuse(self, 400, "the request is not proper HTTP");
            return;
        }
        if (!hadHeader && parser->is_header_done())
            limitTime(self, bodyTimeout);
        if (used == 0)
            break;
    }
    if (parser->is_done())
        serve(self);
    else
        read(self);
}

void caller_connection::implementation::serve(const std::shared_ptr<caller_connection>& self)
{
    timer.cancel();
    auto message = parser->release();
    const auto coding = message.find(http::field::transfer_encoding);
    const bool hasLength = message.find(http::field::content_length) != message.end();
    if (hasLength && coding != message.end()) {
        refuse(self, 400, "the request has both a length and a transfer coding");
        return;
    }
    // The end of a body with any other coding is not known, and what follows could be taken for a request.
    if (coding != message.end() && !boost::beast::iequals(coding->value(), "chunked")) {
        refuse(self, 400, "the request has a transfer coding other than chunked");
        return;
    }
    if (message.version() == 11 && message.count(http::field::host) != 1) {
        refuse(self, 400, "the request does not name one host");
        return;
    }
    now = phase::Serving;
    keepsAlive = message.keep_alive();
    isHeadRequest = message.method() == http::verb::head;
    http_request_message request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message)
        request.fields.push_back({ std::string(field.name_string()), std::string(field.value()) });
    request.body = std::move(message.body());
    read(self);
    events->request(self, std::move(request));
}

void caller_connection::implementation::refuse(const std::shared_ptr<caller_connection>& self, int status, const char* why)
{
    now = phase::Serving;
    keepsAlive = false;
    events->refused(status, why);
    self->answer(status, "Content-Type: text/plain\r\n", why);
}

std::string caller_connection::implementation::head(int status, std::string_view fields) const
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
    text += std::string_view(http::obsolete_reason(static_cast<http::status>(status)));
    text += "\r\n";
    text += fields;
    if (!keepsAlive || isStopping)
        text += "Connection: close\r\n";
    return text;
}

void caller_connection::implementation::write(const std::shared_ptr<caller_connection>& self, std::string_view bytes)
{
    if (now == phase::Closed)
        return;
    queued += bytes;
    if (!isWriting)
        writeQueued(self);
}

void caller_connection::implementation::writeQueued(const std::shared_ptr<caller_connection>& self)
{
    isWriting = true;
    writing.swap(queued);
    queued.clear();
    limitTime(self, writeTimeout);
    asio::async_write(socket, asio::buffer(writing), [self](const error_code& error, std::size_t) {
        self->m_implementation->written(self, error);
    });
}

void caller_connection::implementation::written(const std::shared_ptr<caller_connection>& self, const error_code& error)
{
    isWriting = false;
    writing.clear();
    if (now == phase::Closed)
        return;
    if (error) {
        close(self.get());
        return;
    }
    if (!queued.empty()) {
        writeQueued(self);
        return;
    }
    timer.cancel();
    if (closesAfterWrite)
        close(self.get());
    else if (now == phase::Idle)
        expectRequest(self);
}

void caller_connection::implementation::answerEnded(const std::shared_ptr<caller_connection>& self)
{
    callerLeft = nullptr;
    if (now == phase::Closed)
        return;
    if (!keepsAlive || isStopping)
        closesAfterWrite = true;
    // written() expects the next request once all of the answer is out.
    now = phase::Idle;
    if (isWriting)
        return;
    if (closesAfterWrite)
        close(self.get());
    else
        expectRequest(self);
}

void caller_connection::implementation::close(caller_connection* self)
{
    if (now == phase::Closed)
        return;
    now = phase::Closed;
    timer.cancel();
    error_code ignored; // The peer may have closed first.
    socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    socket.close(ignored);
    const auto left = std::exchange(callerLeft, nullptr);
    if (left)
        left();
    events->closed(self);
}

caller_connection::caller_connection(asio::ip::tcp::socket socket, caller_limits limits, std::shared_ptr<const hooks> events)
    : m_implementation(std::make_unique<implementation>(std::move(socket), limits, std::move(events)))
{
}

caller_connection::~caller_connection() = default;

void caller_connection::start()
{
    m_implementation->start(shared_from_this());
}

void caller_connection::setCallerLeft(std::function<void()> callerLeft)
{
    m_implementation->callerLeft = std::move(callerLeft);
}

void caller_connection::answer(int status, std::string_view fields, std::string_view body)
{
    if (m_implementation->now != implementation::phase::Serving)
        return;
    const auto self = shared_from_this();
    std::string text = m_implementation->head(status, fields);
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    if (!m_implementation->isHeadRequest)
        text += body;
    m_implementation->write(self, text);
    m_implementation->answerEnded(self);
}

void caller_connection::beginStream(int status, std::string_view fields)
{
    if (m_implementation->now != implementation::phase::Serving)
        return;
    m_implementation->write(shared_from_this(), m_implementation->head(status, fields) + "Transfer-Encoding: chunked\r\n\r\n");
}

void caller_connection::sendPart(std::string_view part)
{
    if (part.empty() || m_implementation->now != implementation::phase::Serving)
        return;
    std::array<char, 16> size {};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), part.size(), 16).ptr;
    std::string chunk(size.data(), end);
    chunk.append("\r\n").append(part).append("\r\n");
    m_implementation->write(shared_from_this(), chunk);
}

void caller_connection::endStream()
{
    if (m_implementation->now != implementation::phase::Serving)
        return;
    const auto self = shared_from_this();
    m_implementation->write(self, "0\r\n\r\n");
    m_implementation->answerEnded(self);
}

void caller_connection::breakOff()
{
    m_implementation->callerLeft = nullptr;
    m_implementation->close(this);
}

void caller_connection::closeAfterAnswer()
{
    m_implementation->isStopping = true;
    if (m_implementation->now == implementation::phase::Idle && !m_implementation->isWriting)
        m_implementation->close(this);
}

std::size_t caller_connection::unsentBytes() const
{
    return m_implementation->writing.size() + m_implementation->queued.size();
}

}
