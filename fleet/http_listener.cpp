#include "fleet/http_listener.h"

#include "fleet/steady_time.h"
#include "relay/endpoint.h"
#include "relay/memory_budget.h"

#include <boost/asio/steady_timer.hpp>

#include <vector>

namespace sardinelb {

using boost::system::error_code;

namespace {

// The backlog is long because a SYN that finds it full is retransmitted only after seconds.
constexpr int listenBacklog = 1024;

// Delay after accept() fails, for example when no file descriptor is free.
constexpr std::chrono::milliseconds acceptRetryDelay { 20 };

}

http_listener::http_listener(const boost::asio::any_io_executor& executor, http_server_connection::hooks hooks)
    : m_acceptor(executor)
    , m_hooks(std::make_shared<http_server_connection::hooks>(std::move(hooks)))
{
}

bool http_listener::listen(const std::string& address, std::string& problem)
{
    const auto endpoint = tcpEndpoint(address);
    if (!endpoint) {
        problem = "'" + address + "' is not an IP address and port";
        return false;
    }
    m_hooks->onClosed = [weak = weak_from_this()](http_server_connection* connection) {
        if (const auto self = weak.lock())
            self->removeConnection(connection);
    };
    error_code error;
    m_acceptor.open(endpoint->protocol(), error);
    if (!error)
        m_acceptor.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true), error);
    if (!error)
        m_acceptor.bind(*endpoint, error);
    if (!error)
        m_acceptor.listen(listenBacklog, error);
    if (error) {
        problem = address + ": " + error.message();
        return false;
    }
    accept();
    return true;
}

void http_listener::accept()
{
    m_acceptor.async_accept([self = shared_from_this()](const error_code& error, boost::asio::ip::tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted)
            return;
        if (error) {
            auto timer = std::make_shared<boost::asio::steady_timer>(self->m_acceptor.get_executor(), acceptRetryDelay);
            timer->async_wait([self, timer](const error_code&) { self->accept(); });
            return;
        }
        // A connection that finds no room is closed unread.
        if (self->m_budget && !self->m_budget->admit(steadyNow())) {
            self->m_hooks->onRejected(0, "no descriptor or memory is free for the connection");
            self->accept();
            return;
        }
        const auto connection = std::make_shared<http_server_connection>(std::move(socket), self->m_limits, self->m_hooks, self->m_budget);
        self->m_connections.insert(connection.get());
        if (self->m_isCloseAnnounced)
            connection->announceClose();
        connection->start();
        self->accept();
    });
}

void http_listener::removeConnection(http_server_connection* connection)
{
    m_connections.erase(connection);
}

void http_listener::stopAccepting()
{
    error_code ignored; // A failed close cannot be handled.
    m_acceptor.close(ignored);
}

void http_listener::announceClose()
{
    m_isCloseAnnounced = true;
    for (http_server_connection* connection : m_connections)
        connection->announceClose();
}

void http_listener::closeConnections()
{
    // Copies the set, because a connection that closes removes itself from it.
    const std::vector<http_server_connection*> connections(m_connections.begin(), m_connections.end());
    for (http_server_connection* connection : connections)
        connection->closeAfterResponse();
}

}
