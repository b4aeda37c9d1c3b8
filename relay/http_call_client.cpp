#include "relay/http_call_client.h"

#include "relay/endpoint.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <unordered_map>
#include <utility>
#include <vector>

namespace sardinelb {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// Idle connections kept for one address.
constexpr std::size_t keptConnections = 2;

// An older idle connection may have gone silent; a new one costs little.
constexpr std::chrono::seconds longestIdle { 3 };

// A fleet's store answers with up to 1 MB at a time.
constexpr std::uint64_t mostAnswerBytes = 8ULL * 1024 * 1024;

}

struct http_call_client::implementation : std::enable_shared_from_this<implementation> {
    struct connection {
        explicit connection(const asio::any_io_executor& executor)
            : stream(executor)
        {
        }

        beast::tcp_stream stream;
        beast::flat_buffer input;
        http::request<http::string_body> request;
        std::optional<http::response_parser<http::string_body>> parser;
        std::chrono::steady_clock::time_point idleSince;
        std::string address;
        receiver answered;
    };

    explicit implementation(asio::any_io_executor where)
        : executor(std::move(where))
    {
    }

    asio::any_io_executor executor;
    std::unordered_map<std::string, std::vector<std::shared_ptr<connection>>> idle;

    std::shared_ptr<connection> takeIdle(const std::string& address);
    void send(const std::shared_ptr<connection>&);
    void finish(const std::shared_ptr<connection>&, const error_code&);
};

std::shared_ptr<http_call_client::implementation::connection> http_call_client::implementation::takeIdle(const std::string& address)
{
    auto& kept = idle[address];
    while (!kept.empty()) {
        auto last = std::move(kept.back());
        kept.pop_back();
        if (std::chrono::steady_clock::now() - last->idleSince < longestIdle)
            return last;
    }
    return nullptr;
}

void http_call_client::implementation::send(const std::shared_ptr<connection>& link)
{
    http::async_write(link->stream, link->request, [self = shared_from_this(), link](const error_code& error, std::size_t) {
        if (error) {
            self->finish(link, error);
            return;
        }
        link->parser.emplace();
        link->parser->body_limit(mostAnswerBytes);
        http::async_read(link->stream, link->input, *link->parser, [self, link](const error_code& failure, std::size_t) {
            self->finish(link, failure);
        });
    });
}

void http_call_client::implementation::finish(const std::shared_ptr<connection>& link, const error_code& error)
{
    link->stream.expires_never();
    const receiver answered = std::exchange(link->answered, nullptr);
    if (error) {
        // Resets the connection, so that a call that is still under way does not arrive after it was given up.
        error_code ignored; // The socket may be closed already.
        link->stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
        link->stream.close();
        answered(std::nullopt);
        return;
    }
    const bool keepsAlive = link->parser->keep_alive();
    auto message = link->parser->release();
    link->parser.reset();
    auto& kept = idle[link->address];
    if (keepsAlive && kept.size() < keptConnections) {
        link->idleSince = std::chrono::steady_clock::now();
        kept.push_back(link);
    }
    answered(reply { static_cast<int>(message.result_int()), std::move(message.body()) });
}

http_call_client::http_call_client(asio::any_io_executor executor)
    : m_implementation(std::make_shared<implementation>(std::move(executor)))
{
}

http_call_client::~http_call_client() = default;

void http_call_client::start(call what, receiver answered)
{
    const auto endpoint = tcpEndpoint(what.address);
    if (!endpoint) {
        asio::post(m_implementation->executor, [answered = std::move(answered)] { answered(std::nullopt); });
        return;
    }
    auto link = m_implementation->takeIdle(what.address);
    const bool isConnected = link != nullptr;
    if (!isConnected)
        link = std::make_shared<implementation::connection>(m_implementation->executor);
    link->address = what.address;
    link->answered = std::move(answered);
    link->request = {};
    link->request.version(11);
    link->request.method_string(what.method);
    link->request.target(what.target);
    link->request.set(http::field::host, what.address);
    if (!what.body.empty()) {
        link->request.set(http::field::content_type, "application/json");
        link->request.body() = std::move(what.body);
    }
    link->request.prepare_payload();
    link->stream.expires_after(what.timeout);
    if (isConnected) {
        m_implementation->send(link);
        return;
    }
    link->stream.async_connect(*endpoint, [client = m_implementation, link](const error_code& error) {
        if (error)
            client->finish(link, error);
        else
            client->send(link);
    });
}

}
