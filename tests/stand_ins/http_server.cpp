#include "tests/stand_ins/http_server.h"

#include "tests/stand_ins/event_loop.h"
#include "tests/stand_ins/http_exchange.h"
#include "tests/stand_ins/json_fields.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <iostream>
#include <utility>

namespace sardinelb::stand_ins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

// A client connection. Serves its requests sequentially.
class http_connection : public std::enable_shared_from_this<http_connection> {
public:
    http_connection(tcp::socket, const http_handler&);

    // Serves requests until the connection is closed by either side or fails.
    asio::awaitable<void> run();

private:
    // Serves one request. Returns whether the connection stays open for another one.
    asio::awaitable<bool> serveRequest();
    // Notifies the exchange when the peer closes the connection.
    void watchForDisconnect(const std::shared_ptr<http_exchange>&);
    // Completes when the exchange has changed since the last call.
    asio::awaitable<void> awaitChange(const http_exchange&);
    asio::awaitable<bool> sendComplete(http_exchange&, unsigned version, bool keepAlive);
    asio::awaitable<bool> sendChunked(http_exchange&, unsigned version);
    asio::awaitable<bool> sendResponse(http_exchange&, unsigned version, bool keepAlive);

    tcp::socket m_socket;
    const http_handler& m_handler;
    boost::beast::flat_buffer m_buffer;
    // Never expires; cancelling it wakes the coroutine that sends the response.
    asio::steady_timer m_wake;
    bool m_changed = false;
};

namespace {

constexpr std::uint64_t maxBodyBytes = 64ULL << 20;

http_request toRequest(http::request<http::string_body>&& message)
{
    http_request request;
    request.method = std::string(message.method_string());
    setTarget(request, std::string(message.target()));
    request.requestId = std::string(message["X-Request-Id"]);
    request.body = std::move(message.body());
    return request;
}

}

http_connection::http_connection(tcp::socket socket, const http_handler& handler)
    : m_socket(std::move(socket))
    , m_handler(handler)
    , m_wake(m_socket.get_executor(), asio::steady_timer::time_point::max())
{
}

asio::awaitable<void> http_connection::run()
{
    // Keeps the connection alive while the coroutine runs.
    const auto self = shared_from_this();
    bool open = true;
    while (open)
        open = co_await serveRequest();
    error_code ignored;
    m_socket.close(ignored);
}

asio::awaitable<bool> http_connection::serveRequest()
{
    http::request_parser<http::string_body> parser;
    parser.body_limit(maxBodyBytes);
    error_code error;
    co_await http::async_read(m_socket, m_buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return false;
    const bool keepAlive = parser.get().keep_alive();
    const unsigned version = parser.get().version();
    auto exchange = std::make_shared<http_exchange>(toRequest(parser.release()));
    m_changed = false;
    exchange->m_onChange = [this] {
        m_changed = true;
        m_wake.cancel();
    };
    callHandler(m_handler, exchange);
    watchForDisconnect(exchange);
    const bool sent = co_await sendResponse(*exchange, version, keepAlive);
    // The handler may hold the exchange longer than the connection exists.
    exchange->m_onChange = nullptr;
    if (!sent)
        exchange->onDisconnected();
    // Breaks a reference cycle when the callback owns an object that holds the exchange.
    exchange->m_onDisconnect = nullptr;
    co_return sent&& keepAlive;
}

void http_connection::watchForDisconnect(const std::shared_ptr<http_exchange>& exchange)
{
    if (exchange->m_ended)
        return;
    auto self = shared_from_this();
    std::weak_ptr<http_exchange> watched = exchange;
    m_socket.async_wait(asio::socket_base::wait_read, [self, watched](const error_code& error) {
        const auto current = watched.lock();
        if (error || !current || current->m_ended)
            return;
        // A readable socket with no bytes available means that the peer has closed the connection.
        error_code failure;
        if (self->m_socket.available(failure) == 0)
            current->onDisconnected();
    });
}

asio::awaitable<void> http_connection::awaitChange(const http_exchange& exchange)
{
    if (!m_changed && !exchange.m_ended) {
        error_code ignored;
        co_await m_wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    m_changed = false;
}

asio::awaitable<bool> http_connection::sendResponse(http_exchange& exchange, unsigned version, bool keepAlive)
{
    while (exchange.m_kind == http_exchange::response_kind::None)
        co_await awaitChange(exchange);
    if (exchange.m_kind == http_exchange::response_kind::Complete) {
        const bool sent = co_await sendComplete(exchange, version, keepAlive);
        co_return sent;
    }
    if (exchange.m_kind == http_exchange::response_kind::Stream) {
        const bool sent = co_await sendChunked(exchange, version);
        co_return sent;
    }
    co_return false;
}

asio::awaitable<bool> http_connection::sendComplete(http_exchange& exchange, unsigned version, bool keepAlive)
{
    http::response<http::string_body> response(static_cast<http::status>(exchange.m_status), version);
    response.set(http::field::content_type, exchange.m_contentType);
    response.keep_alive(keepAlive);
    response.body() = std::move(exchange.m_body);
    response.prepare_payload();
    error_code error;
    co_await http::async_write(m_socket, response, asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

asio::awaitable<bool> http_connection::sendChunked(http_exchange& exchange, unsigned version)
{
    http::response<http::empty_body> header(http::status::ok, version);
    header.set(http::field::content_type, exchange.m_contentType);
    header.chunked(true);
    http::response_serializer<http::empty_body> serializer(header);
    error_code error;
    co_await http::async_write_header(m_socket, serializer, asio::redirect_error(asio::use_awaitable, error));
    while (!error && exchange.m_kind == http_exchange::response_kind::Stream) {
        // Bytes written while the previous chunk was being sent are combined into one chunk.
        const std::string chunk = std::exchange(exchange.m_body, {});
        if (!chunk.empty()) {
            const auto chunkBuffers = http::make_chunk(asio::buffer(chunk));
            co_await asio::async_write(m_socket, chunkBuffers, asio::redirect_error(asio::use_awaitable, error));
        } else if (exchange.m_ended) {
            co_await asio::async_write(
                m_socket, http::make_chunk_last(), asio::redirect_error(asio::use_awaitable, error));
            co_return !error;
        } else {
            co_await awaitChange(exchange);
        }
    }
    co_return false;
}

namespace {

asio::awaitable<void> acceptConnections(tcp::acceptor acceptor, http_handler handler)
{
    while (acceptor.is_open()) {
        error_code error;
        tcp::socket socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error)
            continue;
        // Nagle's algorithm would delay the small chunks of a stream.
        socket.set_option(tcp::no_delay(true), error);
        auto connection = std::make_shared<http_connection>(std::move(socket), handler);
        asio::co_spawn(acceptor.get_executor(), connection->run(), asio::detached);
    }
}

}

void callHandler(const http_handler& handler, const std::shared_ptr<http_exchange>& exchange)
{
    try {
        handler(exchange);
    } catch (const std::exception& failure) {
        exchange->respond(400, errorBody(failure.what()));
    }
}

void serveHttp(event_loop& loop, std::uint16_t port, http_handler handler)
{
    tcp::acceptor acceptor(loop.context(), tcp::endpoint(asio::ip::address_v4::loopback(), port));
    std::cout << "listening on 127.0.0.1:" << acceptor.local_endpoint().port() << std::endl;
    asio::co_spawn(loop.context(), acceptConnections(std::move(acceptor), std::move(handler)), asio::detached);
}

}
