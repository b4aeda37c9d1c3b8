#include "transport/blocking_http_client.h"

#include "relay/bounded_parse.h"
#include "relay/response_validity.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <optional>
#include <string>

namespace sardinelb {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

http::request<http::string_body> toRequest(const socket_address& address, const http_call& call)
{
    http::request<http::string_body> request;
    request.version(11);
    request.method_string(call.method);
    request.target(call.target);
    request.set(http::field::host, toString(address));
    request.set(http::field::connection, "close");
    if (!call.body.empty())
        request.set(http::field::content_type, call.contentType);
    for (const auto& [name, value] : call.headers)
        request.set(name, value);
    request.body() = call.body;
    request.prepare_payload();
    return request;
}

transport_error requestError(transport_errc code, const socket_address& address, const std::string& detail)
{
    return { code, toString(address), detail };
}

transport_errc codeFor(const beast::error_code& error)
{
    if (error == http::error::body_limit)
        return transport_errc::ResponseTooLong;
    return error == beast::error::timeout ? transport_errc::Timeout : transport_errc::ConnectionLost;
}

asio::awaitable<void> exchange(
    const socket_address& address, const http_call& call, std::optional<transport_result<http_response>>& result)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(call.timeout);
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
    if (auto [error] = co_await stream.async_connect(endpoint, asTuple); error) {
        result = requestError(transport_errc::ConnectionRefused, address, error.message());
        co_return;
    }
    const auto request = toRequest(address, call);
    if (auto [error, bytes] = co_await http::async_write(stream, request, asTuple); error) {
        result = requestError(codeFor(error), address, error.message());
        co_return;
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(call.maxResponseBytes);
    beast::flat_buffer buffer { maxFramingBytes };
    if (auto [error, bytes] = co_await http::async_read(stream, buffer, parser, asTuple); error) {
        result = requestError(codeFor(error), address, error.message());
        co_return;
    }
    const auto& message = parser.get();
    if (!isFinalStatus(message.result_int()) || !isTransferCodingDecoded(message)) {
        result = requestError(transport_errc::BadMessage, address, "not a response: status " + std::to_string(message.result_int()));
        co_return;
    }
    result = http_response { static_cast<int>(message.result_int()),
        std::string(message[http::field::content_type]), message.body() };
}

}

transport_result<http_response> callHttp(const socket_address& address, const http_call& call)
{
    asio::io_context context { 1 };
    std::optional<transport_result<http_response>> result;
    asio::co_spawn(context, exchange(address, call, result), asio::detached);
    context.run();
    if (!result)
        return requestError(transport_errc::ConnectionLost, address, "no response");
    return *std::move(result);
}

}
