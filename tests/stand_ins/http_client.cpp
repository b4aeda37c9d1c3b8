#include "tests/stand_ins/http_client.h"

#include "tests/stand_ins/event_loop.h"
#include "tests/stand_ins/http_client_request.h"
#include "tests/stand_ins/http_client_response.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

namespace sardinelb::stand_ins {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

std::optional<tcp::endpoint> parseEndpoint(const std::string& address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    error_code error;
    const auto ip = asio::ip::make_address(address.substr(0, colon), error);
    std::uint16_t port = 0;
    const auto parsed = std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
    if (error || parsed.ec != std::errc())
        return std::nullopt;
    return tcp::endpoint(ip, port);
}

http::request<http::string_body> toMessage(const http_client_request& call)
{
    constexpr unsigned http11 = 11;
    http::request<http::string_body> message;
    message.version(http11);
    message.method_string(call.method);
    message.target(call.target);
    message.set(http::field::host, call.address);
    if (!call.bearerKey.empty())
        message.set(http::field::authorization, "Bearer " + call.bearerKey);
    if (!call.idempotencyKey.empty())
        message.set("Idempotency-Key", call.idempotencyKey);
    message.set(http::field::content_type, "application/json");
    message.body() = call.body;
    message.prepare_payload();
    return message;
}

duration parseSeconds(std::string_view text)
{
    std::uint32_t seconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    return std::chrono::seconds(seconds);
}

}

struct http_client::implementation {
    explicit implementation(event_loop& loop)
        : stream(loop.context())
    {
    }

    asio::awaitable<void> exchange(http_client_request call, std::function<void(const http_client_response&)> callback)
    {
        http_client_response response;
        const bool connected = co_await connect(call, response);
        if (connected)
            co_await sendAndReceive(call, response);
        callback(response);
    }

    // Connects, or reuses the open connection to the same address. Returns whether it is connected.
    asio::awaitable<bool> connect(const http_client_request& call, http_client_response& response)
    {
        stream.expires_after(call.timeout);
        if (call.address == address && isOpen())
            co_return true;
        close();
        const auto endpoint = parseEndpoint(call.address);
        error_code error;
        if (!endpoint) {
            response.failure = "'" + call.address + "' is not an IP address and port";
            co_return false;
        }
        co_await stream.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            response.failure = error.message();
            co_return false;
        }
        stream.socket().set_option(tcp::no_delay(true), error);
        address = call.address;
        co_return true;
    }

    asio::awaitable<void> sendAndReceive(const http_client_request& call, http_client_response& response)
    {
        const auto message = toMessage(call);
        response.delivery = http_delivery::Truncated;
        http::response_parser<http::string_body> parser;
        parser.body_limit(boost::none);
        error_code error;
        co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, error));
        if (!error)
            co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        auto& parsed = parser.get();
        response.status = parser.is_header_done() ? static_cast<int>(parsed.result_int()) : 0;
        response.retryAfter = parseSeconds(parsed[http::field::retry_after]);
        response.body = std::move(parsed.body());
        if (error)
            response.failure = error.message();
        else
            response.delivery = http_delivery::Complete;
        if (error || !parser.keep_alive())
            close();
    }

    // Returns whether the connection is idle and the peer is not known to have closed it.
    bool isOpen()
    {
        if (!stream.socket().is_open())
            return false;
        error_code error;
        char byte = 0;
        stream.socket().non_blocking(true, error);
        stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        return error == asio::error::would_block;
    }

    void close()
    {
        stream.close();
        buffer.clear();
        address.clear();
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    // Address of the connected peer; empty when not connected.
    std::string address;
};

http_client::http_client(event_loop& loop)
    : m_implementation(std::make_unique<implementation>(loop))
{
}

http_client::~http_client() = default;
http_client::http_client(http_client&&) noexcept = default;
http_client& http_client::operator=(http_client&&) noexcept = default;

void http_client::send(const http_client_request& call, std::function<void(const http_client_response&)> callback)
{
    asio::co_spawn(m_implementation->stream.get_executor(),
        m_implementation->exchange(call, std::move(callback)), asio::detached);
}

}
