#include "transport/http_server.h"

#include "relay/memory_budget.h"
#include "transport/http_session.h"
#include "transport/net_thread.h"
#include "transport/open_listener.h"
#include "transport/session_memory.h"
#include "transport/socket_address.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <unordered_set>
#include <utility>

namespace sardinelb {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

// What the kernel holds of a connection counts toward the memory of the machine. Enough for 5 MB/s at a round trip of 6 ms.
constexpr int receiveBufferBytes = 32768;

}

struct http_server::implementation : std::enable_shared_from_this<http_server::implementation> {
    implementation(asio::io_context& io, http_limits bounds, handler handle, rejection_body makeBody, std::shared_ptr<memory_budget> memory)
        : acceptor(io)
        , limits(bounds)
        , onRequest(std::move(handle))
        , rejectionBody(std::move(makeBody))
        , budget(std::move(memory))
    {
    }

    asio::awaitable<void> acceptLoop();
    void startSession(tcp::socket);
    asio::awaitable<void> serve(std::shared_ptr<http_session>);

    tcp::acceptor acceptor;
    http_limits limits;
    handler onRequest;
    rejection_body rejectionBody;
    std::shared_ptr<memory_budget> budget;
    std::unordered_set<http_session*> sessions;
    bool closeAfterResponses = false;
};

asio::awaitable<void> http_server::implementation::acceptLoop()
{
    const auto self = shared_from_this();
    while (acceptor.is_open()) {
        auto [error, socket] = co_await acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
        if (error == asio::error::operation_aborted)
            co_return;
        if (error)
            continue;
        startSession(std::move(socket));
    }
}

void http_server::implementation::startSession(tcp::socket socket)
{
    // A connection over the limit is closed at once, because a response would use the resources that the limit
    // protects.
    if (sessions.size() >= limits.maxConnections || (budget && !budget->admit(session_memory::now())))
        return;
    const auto executor = socket.get_executor();
    const auto session
        = std::make_shared<http_session>(beast::tcp_stream(std::move(socket)), limits, onRequest, rejectionBody, budget);
    if (closeAfterResponses)
        session->closeAfterResponse();
    sessions.insert(session.get());
    asio::co_spawn(executor, serve(session), asio::detached);
}

asio::awaitable<void> http_server::implementation::serve(std::shared_ptr<http_session> session)
{
    const auto self = shared_from_this();
    co_await session->run();
    sessions.erase(session.get());
}

http_server::http_server(net_thread& net, http_limits limits, handler handle, rejection_body makeBody, std::shared_ptr<memory_budget> budget)
    : m_implementation(
        std::make_shared<implementation>(net.context(), limits, std::move(handle), std::move(makeBody), std::move(budget)))
{
}

http_server::~http_server()
{
    boost::system::error_code ignored;
    m_implementation->acceptor.close(ignored);
}

transport_result<std::uint16_t> http_server::listen(const socket_address& address)
{
    auto& acceptor = m_implementation->acceptor;
    auto port = openListener(acceptor, address);
    if (port && m_implementation->budget) {
        boost::system::error_code ignored; // Connections work with larger buffers, too.
        acceptor.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes), ignored);
    }
    if (port)
        asio::co_spawn(acceptor.get_executor(), m_implementation->acceptLoop(), asio::detached);
    return port;
}

void http_server::closeAfterResponses()
{
    m_implementation->closeAfterResponses = true;
    for (http_session* session : m_implementation->sessions)
        session->closeAfterResponse();
}

void http_server::drain()
{
    // Closing the acceptor resets the connections in its backlog, so they are accepted first.
    auto& acceptor = m_implementation->acceptor;
    boost::system::error_code error;
    acceptor.non_blocking(true, error);
    while (!error) {
        tcp::socket socket(acceptor.get_executor());
        acceptor.accept(socket, error);
        if (!error)
            m_implementation->startSession(std::move(socket));
    }
    boost::system::error_code ignored;
    acceptor.close(ignored);
    for (http_session* session : m_implementation->sessions)
        session->drain();
}

std::size_t http_server::connections() const
{
    return m_implementation->sessions.size();
}

}
