#include "relay/http_call_client.h"

#include "relay/bounded_parse.h"
#include "relay/endpoint.h"
#include "relay/response_validity.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sardinelb {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t maxIdleConnectionsPerAddress = 2;

// Connections that are idle for longer may be dead; connecting again costs little.
constexpr std::chrono::seconds maxIdleTime { 3 };

// Names what is wrong with a response. nullptr if the response did not arrive in time or at all.
const char* brokenReason(const error_code& error)
{
    if (error == http::error::body_limit)
        return "body_too_long";
    if (error == http::error::header_limit || error == http::error::buffer_overflow)
        return "head_too_long";
    if (error == http::error::partial_message)
        return "cut_off";
    const bool isSyntaxError = error.category() == http::make_error_code(http::error::bad_method).category() && error != http::error::end_of_stream;
    return isSyntaxError ? "not_http" : nullptr;
}

}

struct http_call_client::implementation : std::enable_shared_from_this<implementation> {
    struct pooled_connection {
        explicit pooled_connection(const asio::any_io_executor& executor)
            : stream(executor)
        {
        }

        beast::tcp_stream stream;
        beast::flat_buffer input { maxFramingBytes };
        http::request<http::string_body> request;
        std::optional<http::response_parser<http::string_body>> parser;
        std::chrono::steady_clock::time_point idleSince;
        std::string address;
        std::uint64_t maxBodyBytes = 0;
        response_handler onResponse;
        std::function<void(std::string_view)> onBroken;
    };

    explicit implementation(asio::any_io_executor ioExecutor)
        : executor(std::move(ioExecutor))
    {
    }

    asio::any_io_executor executor;
    std::unordered_map<std::string, std::vector<std::shared_ptr<pooled_connection>>> idle;

    std::shared_ptr<pooled_connection> takeIdle(const std::string& address);
    static bool hasReceivedNothing(pooled_connection&);
    static bool isResponseValid(const pooled_connection&);
    void send(const std::shared_ptr<pooled_connection>&);
    void finish(const std::shared_ptr<pooled_connection>&, const error_code&);
};

std::shared_ptr<http_call_client::implementation::pooled_connection> http_call_client::implementation::takeIdle(const std::string& address)
{
    auto& idleConnections = idle[address];
    while (!idleConnections.empty()) {
        auto last = std::move(idleConnections.back());
        idleConnections.pop_back();
        if (std::chrono::steady_clock::now() - last->idleSince < maxIdleTime && hasReceivedNothing(*last))
            return last;
    }
    return nullptr;
}

// Whether neither bytes nor the end of the connection have arrived since its last response. Bytes that have belong to no call.
bool http_call_client::implementation::hasReceivedNothing(pooled_connection& connection)
{
    asio::ip::tcp::socket& socket = connection.stream.socket();
    error_code error;
    socket.non_blocking(true, error);
    if (error)
        return false;
    std::array<char, 1> byte {};
    socket.receive(asio::buffer(byte), asio::socket_base::message_peek, error);
    return error == asio::error::would_block;
}

// A call may have been carried out although what it got is no response.
bool http_call_client::implementation::isResponseValid(const pooled_connection& connection)
{
    const auto& message = connection.parser->get();
    return isFinalStatus(message.result_int()) && isTransferCodingDecoded(message);
}

void http_call_client::implementation::send(const std::shared_ptr<pooled_connection>& connection)
{
    http::async_write(connection->stream, connection->request, [self = shared_from_this(), connection](const error_code& error, std::size_t) {
        if (error) {
            self->finish(connection, error);
            return;
        }
        connection->parser.emplace();
        connection->parser->body_limit(connection->maxBodyBytes);
        http::async_read(connection->stream, connection->input, *connection->parser, [self, connection](const error_code& failure, std::size_t) {
            self->finish(connection, failure);
        });
    });
}

void http_call_client::implementation::finish(const std::shared_ptr<pooled_connection>& connection, const error_code& error)
{
    connection->stream.expires_never();
    const response_handler onResponse = std::exchange(connection->onResponse, nullptr);
    const auto onBroken = std::exchange(connection->onBroken, nullptr);
    if (error || !isResponseValid(*connection)) {
        const char* reason = error ? brokenReason(error) : "not_a_response";
        // Resets the connection, so that a call that is still in transit is not delivered after the client has given up on it.
        error_code ignored; // The socket may already be closed.
        connection->stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
        connection->stream.close();
        connection->parser.reset();
        if (reason && onBroken)
            onBroken(reason);
        onResponse(std::nullopt);
        return;
    }
    const bool isKeepAlive = connection->parser->keep_alive();
    auto message = connection->parser->release();
    connection->parser.reset();
    auto& idleConnections = idle[connection->address];
    const bool hasExtraBytes = connection->input.size() > 0;
    if (isKeepAlive && !hasExtraBytes && idleConnections.size() < maxIdleConnectionsPerAddress) {
        connection->idleSince = std::chrono::steady_clock::now();
        idleConnections.push_back(connection);
    }
    reply response { static_cast<int>(message.result_int()), std::move(message.body()), {} };
    for (const auto& field : message)
        response.fields.push_back({ std::string(field.name_string()), std::string(field.value()) });
    onResponse(std::move(response));
}

http_call_client::http_call_client(asio::any_io_executor executor)
    : m_implementation(std::make_shared<implementation>(std::move(executor)))
{
}

http_call_client::~http_call_client() = default;

void http_call_client::start(call request, response_handler onResponse)
{
    const auto endpoint = tcpEndpoint(request.address);
    if (!endpoint) {
        asio::post(m_implementation->executor, [onResponse = std::move(onResponse)] { onResponse(std::nullopt); });
        return;
    }
    auto connection = m_implementation->takeIdle(request.address);
    const bool isConnected = connection != nullptr;
    if (!isConnected)
        connection = std::make_shared<implementation::pooled_connection>(m_implementation->executor);
    connection->address = request.address;
    connection->onResponse = std::move(onResponse);
    connection->onBroken = std::move(request.onBroken);
    connection->maxBodyBytes = request.maxBodyBytes;
    connection->request = {};
    connection->request.version(11);
    connection->request.method_string(request.method);
    connection->request.target(request.target);
    connection->request.set(http::field::host, request.address);
    if (!request.body.empty()) {
        connection->request.set(http::field::content_type, "application/json");
        connection->request.body() = std::move(request.body);
    }
    connection->request.prepare_payload();
    connection->stream.expires_after(request.timeout);
    if (isConnected) {
        m_implementation->send(connection);
        return;
    }
    connection->stream.async_connect(*endpoint, [client = m_implementation, connection](const error_code& error) {
        if (error)
            client->finish(connection, error);
        else
            client->send(connection);
    });
}

}
