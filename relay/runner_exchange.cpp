#include "relay/runner_exchange.h"

#include "relay/bounded_parse.h"
#include "relay/endpoint.h"
#include "relay/head_lines.h"
#include "relay/http_response_head.h"
#include "relay/response_validity.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <limits>
#include <optional>

namespace sardinelb {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// Well above the round trip between availability zones. Retransmission of a lost SYN would take seconds.
constexpr std::chrono::milliseconds connectTimeout { 250 };

constexpr std::size_t readSizeBytes = 4096;

// Most interim (1xx) responses before the final one; a runner in trouble may send them without end.
constexpr std::uint32_t maxInterimResponses = 16;

constexpr unsigned firstInterimStatus = 100;
constexpr unsigned lastInterimStatus = 199;

// Switching Protocols. No request asks for it, and what follows it is no HTTP.
constexpr unsigned switchingProtocolsStatus = 101;

// The part of a body that has been received and not delivered yet. Unlike http::string_body, it reserves no memory for the
// Content-Length, which a runner in trouble may state wrongly.
struct received_body {
    using value_type = std::string;

    class reader {
    public:
        template <bool isRequest, class Fields>
        reader(http::header<isRequest, Fields>&, value_type& body)
            : m_body(body)
        {
        }

        static void init(const boost::optional<std::uint64_t>&, error_code& error) { error = {}; }

        template <class Buffers>
        std::size_t put(const Buffers& buffers, error_code& error)
        {
            error = {};
            for (const asio::const_buffer part : boost::beast::buffers_range_ref(buffers))
                m_body.append(static_cast<const char*>(part.data()), part.size());
            return boost::beast::buffer_bytes(buffers);
        }

        static void finish(error_code& error) { error = {}; }

    private:
        value_type& m_body;
    };
};

}

struct runner_exchange::implementation {
    implementation(const asio::any_io_executor& executor, hooks handlers)
        : socket(executor)
        , timer(executor)
        , callbacks(std::move(handlers))
    {
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    hooks callbacks;
    std::string request;
    boost::beast::flat_buffer input;
    std::optional<http::response_parser<received_body>> parser;
    std::uint32_t interimResponses = 0;
    bool isFinished = false;
    bool isConnected = false;
    bool isPaused = false;
    bool isReading = false;
    bool hasHead = false;
    // The request could not be written, and not because the runner had ended its side of the connection in order.
    bool isReset = false;

    void connect(const std::shared_ptr<runner_exchange>&, const std::string& address);
    void onConnected(const std::shared_ptr<runner_exchange>&, const error_code&);
    void onWriteFailed(const error_code&);
    void read(const std::shared_ptr<runner_exchange>&);
    void onReceived(const std::shared_ptr<runner_exchange>&, const error_code&, std::size_t);
    void startResponse();
    bool parse();
    bool isHeadFolded() const;
    bool isInterimHead() const;
    bool skipInterimHead();
    bool isHeadValid() const;
    void deliverHead();
    void deliverBody();
    void end(result);
    void close();
};

void runner_exchange::implementation::connect(const std::shared_ptr<runner_exchange>& self, const std::string& address)
{
    const auto endpoint = tcpEndpoint(address);
    if (!endpoint) {
        asio::post(socket.get_executor(), [self] { self->m_implementation->end(result::NotConnected); });
        return;
    }
    timer.expires_after(connectTimeout);
    timer.async_wait([self](const error_code& error) {
        // If the loop was delayed, both handlers are queued, and the request may have been sent already.
        if (!error && !self->m_implementation->isConnected)
            self->m_implementation->end(result::NotConnected);
    });
    socket.async_connect(*endpoint, [self](const error_code& error) { self->m_implementation->onConnected(self, error); });
}

void runner_exchange::implementation::onConnected(const std::shared_ptr<runner_exchange>& self, const error_code& error)
{
    if (isFinished)
        return;
    timer.cancel();
    if (error) {
        end(result::NotConnected);
        return;
    }
    isConnected = true;
    error_code ignored; // The connection works without TCP_NODELAY.
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    asio::async_write(socket, asio::buffer(request), [self](const error_code& failure, std::size_t) {
        if (failure)
            self->m_implementation->onWriteFailed(failure);
    });
    read(self);
}

void runner_exchange::implementation::onWriteFailed(const error_code& error)
{
    // The system reports the reset of a connection once. A write that gets the report hides it from the read after it, which then
    // sees the end of the connection. If the runner had ended its side in order before, the write fails with EPIPE instead.
    isReset = error != asio::error::broken_pipe;
    // A runner may respond before it has read the whole request. A pending read detects a closed connection itself.
    if (!isReading)
        end(result::Broken);
}

void runner_exchange::implementation::read(const std::shared_ptr<runner_exchange>& self)
{
    if (isFinished || !isConnected || isPaused || isReading)
        return;
    isReading = true;
    socket.async_read_some(input.prepare(readSizeBytes), [self](const error_code& error, std::size_t count) {
        self->m_implementation->onReceived(self, error, count);
    });
}

void runner_exchange::implementation::onReceived(const std::shared_ptr<runner_exchange>& self, const error_code& error, std::size_t count)
{
    isReading = false;
    if (isFinished)
        return;
    if (error) {
        // A response without Content-Length or chunked encoding ends with an orderly close of the connection.
        const bool isOrderly = error == asio::error::eof && !isReset;
        error_code failure;
        if (isOrderly && hasHead)
            parser->put_eof(failure);
        const bool isComplete = isOrderly && hasHead && !failure && parser->is_done();
        end(isComplete ? result::EndedByClose : result::Broken);
        return;
    }
    input.commit(count);
    if (!parse()) {
        end(result::Broken);
        return;
    }
    if (isFinished)
        return;
    if (parser->is_done())
        end(result::Complete);
    else
        read(self);
}

void runner_exchange::implementation::startResponse()
{
    parser.emplace();
    parser->eager(true);
    parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    // The response to HEAD has the framing fields of a body, but none.
    parser->skip(request.starts_with("HEAD "));
}

bool runner_exchange::implementation::isHeadFolded() const
{
    return !parser->is_header_done() && hasFoldedLine({ static_cast<const char*>(input.data().data()), input.size() });
}

bool runner_exchange::implementation::isInterimHead() const
{
    if (hasHead || !parser->is_header_done())
        return false;
    const unsigned status = parser->get().result_int();
    return status >= firstInterimStatus && status <= lastInterimStatus && status != switchingProtocolsStatus;
}

bool runner_exchange::implementation::isHeadValid() const
{
    const auto& head = parser->get();
    return isFinalStatus(head.result_int()) && isTransferCodingDecoded(head);
}

bool runner_exchange::implementation::skipInterimHead()
{
    ++interimResponses;
    startResponse();
    return interimResponses <= maxInterimResponses;
}

bool runner_exchange::implementation::parse()
{
    while (input.size() > 0 && !parser->is_done() && !isFinished) {
        if (isHeadFolded())
            return false;
        error_code error;
        const std::size_t consumedBytes = parseBounded(*parser, input, maxFramingBytes, error);
        if (error)
            return false;
        if (isInterimHead()) {
            if (!skipInterimHead())
                return false;
            continue;
        }
        if (!hasHead && parser->is_header_done()) {
            if (!isHeadValid())
                return false;
            deliverHead();
        }
        deliverBody();
        if (consumedBytes == 0)
            break;
    }
    return true;
}

void runner_exchange::implementation::deliverHead()
{
    hasHead = true;
    http_response_head head;
    head.status = static_cast<int>(parser->get().result_int());
    for (const auto& field : parser->get())
        head.fields.push_back({ std::string(field.name_string()), std::string(field.value()) });
    callbacks.onHead(head);
}

void runner_exchange::implementation::deliverBody()
{
    std::string& body = parser->get().body();
    if (!isFinished && !body.empty())
        callbacks.onBody(body);
    body.clear();
}

void runner_exchange::implementation::end(result outcome)
{
    if (isFinished)
        return;
    close();
    const hooks handlers = std::move(callbacks);
    handlers.onEnd(outcome);
}

void runner_exchange::implementation::close()
{
    isFinished = true;
    timer.cancel();
    error_code ignored; // The runner may have closed the connection first.
    socket.close(ignored);
}

runner_exchange::runner_exchange(const asio::any_io_executor& executor, hooks callbacks)
    : m_implementation(std::make_unique<implementation>(executor, std::move(callbacks)))
{
}

runner_exchange::~runner_exchange() = default;

void runner_exchange::start(const std::string& address, std::string request)
{
    m_implementation->request = std::move(request);
    m_implementation->startResponse();
    m_implementation->connect(shared_from_this(), address);
}

void runner_exchange::cancel()
{
    if (m_implementation->isFinished)
        return;
    m_implementation->close();
    // The callbacks may own the caller of cancel(), so they are destroyed after the current call has returned.
    asio::post(m_implementation->socket.get_executor(), [self = shared_from_this()] { self->m_implementation->callbacks = {}; });
}

void runner_exchange::pause()
{
    m_implementation->isPaused = true;
}

void runner_exchange::resume()
{
    m_implementation->isPaused = false;
    m_implementation->read(shared_from_this());
}

}
