#include "relay/runner_exchange.h"

#include "relay/endpoint.h"
#include "relay/http_response_head.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <limits>

namespace sardinelb {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// Well over the round trip between availability zones; a lost opening packet would take seconds.
constexpr std::chrono::milliseconds connectTimeout { 250 };

constexpr std::size_t readBytes = 4096;

}

struct runner_exchange::implementation {
    implementation(const asio::any_io_executor& executor, hooks receivers)
        : socket(executor)
        , timer(executor)
        , events(std::move(receivers))
    {
        parser.eager(true);
        parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    hooks events;
    std::string request;
    boost::beast::flat_buffer input;
    http::response_parser<http::string_body> parser;
    bool isEnded = false;
    bool isPaused = false;
    bool isReading = false;
    bool hasHead = false;

    void connect(const std::shared_ptr<runner_exchange>&, const std::string& address);
    void connected(const std::shared_ptr<runner_exchange>&, const error_code&);
    void read(const std::shared_ptr<runner_exchange>&);
    void received(const std::shared_ptr<runner_exchange>&, const error_code&, std::size_t);
    bool parse();
    void passHead();
    void passBody();
    void end(ending);
    void close();
};

void runner_exchange::implementation::connect(const std::shared_ptr<runner_exchange>& self, const std::string& address)
{
    const auto endpoint = tcpEndpoint(address);
    if (!endpoint) {
        asio::post(socket.get_executor(), [self] { self->m_implementation->end(ending::NotConnected); });
        return;
    }
    timer.expires_after(connectTimeout);
    timer.async_wait([self](const error_code& error) {
        if (!error)
            self->m_implementation->end(ending::NotConnected);
    });
    socket.async_connect(*endpoint, [self](const error_code& error) { self->m_implementation->connected(self, error); });
}

void runner_exchange::implementation::connected(const std::shared_ptr<runner_exchange>& self, const error_code& error)
{
    if (isEnded)
        return;
    timer.cancel();
    if (error) {
        end(ending::NotConnected);
        return;
    }
    error_code ignored; // A socket without this option still works.
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    asio::async_write(socket, asio::buffer(request), [self](const error_code& failure, std::size_t) {
        // A runner may answer before it has read all; the reading side sees the end of the connection too.
        if (failure && !self->m_implementation->isReading)
            self->m_implementation->end(ending::Broken);
    });
    read(self);
}

void runner_exchange::implementation::read(const std::shared_ptr<runner_exchange>& self)
{
    if (isEnded || isPaused || isReading)
        return;
    isReading = true;
    socket.async_read_some(input.prepare(readBytes), [self](const error_code& error, std::size_t count) {
        self->m_implementation->received(self, error, count);
    });
}

void runner_exchange::implementation::received(const std::shared_ptr<runner_exchange>& self, const error_code& error, std::size_t count)
{
    isReading = false;
    if (isEnded)
        return;
    if (error) {
        // An answer without a length ends with its connection, but only if that was closed in order.
        error_code failure;
        if (error == asio::error::eof && hasHead)
            parser.put_eof(failure);
        const bool isWhole = error == asio::error::eof && hasHead && !failure && parser.is_done();
        end(isWhole ? ending::Complete : ending::Broken);
        return;
    }
    input.commit(count);
    if (!parse()) {
        end(ending::Broken);
        return;
    }
    if (isEnded)
        return;
    if (parser.is_done())
        end(ending::Complete);
    else
        read(self);
}

bool runner_exchange::implementation::parse()
{
    while (input.size() > 0 && !parser.is_done() && !isEnded) {
        error_code error;
        const std::size_t used = parser.put(input.data(), error);
        input.consume(used);
        if (error && error != http::error::need_more)
            return false;
        if (!hasHead && parser.is_header_done())
            passHead();
        passBody();
        if (used == 0)
            break;
    }
    return true;
}

void runner_exchange::implementation::passHead()
{
    hasHead = true;
    http_response_head head;
    head.status = static_cast<int>(parser.get().result_int());
    for (const auto& field : parser.get())
        head.fields.push_back({ std::string(field.name_string()), std::string(field.value()) });
    events.head(head);
}

void runner_exchange::implementation::passBody()
{
    std::string& body = parser.get().body();
    if (!isEnded && !body.empty())
        events.body(body);
    body.clear();
}

void runner_exchange::implementation::end(ending how)
{
    if (isEnded)
        return;
    close();
    const hooks receivers = std::move(events);
    receivers.end(how);
}

void runner_exchange::implementation::close()
{
    isEnded = true;
    timer.cancel();
    error_code ignored; // The runner may have closed first.
    socket.close(ignored);
}

runner_exchange::runner_exchange(const asio::any_io_executor& executor, hooks events)
    : m_implementation(std::make_unique<implementation>(executor, std::move(events)))
{
}

runner_exchange::~runner_exchange() = default;

void runner_exchange::start(const std::string& address, std::string request)
{
    m_implementation->request = std::move(request);
    m_implementation->connect(shared_from_this(), address);
}

void runner_exchange::cancel()
{
    if (m_implementation->isEnded)
        return;
    m_implementation->close();
    // The hooks may hold the object that calls this; they go when the current call has returned.
    asio::post(m_implementation->socket.get_executor(), [self = shared_from_this()] { self->m_implementation->events = {}; });
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
