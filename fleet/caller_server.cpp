#include "fleet/caller_server.h"

#include "relay/endpoint.h"

#include <boost/asio/steady_timer.hpp>

#include <vector>

namespace sardinelb {

using boost::system::error_code;

namespace {

// A new connection that finds the queue full waits for seconds, so the queue is long.
constexpr int listenBacklog = 1024;

// Pause after a failure to accept, such as when no descriptor is free.
constexpr std::chrono::milliseconds acceptPause { 20 };

}

caller_server::caller_server(const boost::asio::any_io_executor& executor, caller_connection::hooks hooks)
    : m_acceptor(executor)
    , m_hooks(std::make_shared<caller_connection::hooks>(std::move(hooks)))
{
}

bool caller_server::listen(const std::string& address, std::string& problem)
{
    const auto endpoint = tcpEndpoint(address);
    if (!endpoint) {
        problem = "'" + address + "' is not an IP number and a port";
        return false;
    }
    m_hooks->closed = [weak = weak_from_this()](caller_connection* connection) {
        if (const auto self = weak.lock())
            self->forget(connection);
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

void caller_server::accept()
{
    m_acceptor.async_accept([self = shared_from_this()](const error_code& error, boost::asio::ip::tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted)
            return;
        if (error) {
            auto timer = std::make_shared<boost::asio::steady_timer>(self->m_acceptor.get_executor(), acceptPause);
            timer->async_wait([self, timer](const error_code&) { self->accept(); });
            return;
        }
        const auto connection = std::make_shared<caller_connection>(std::move(socket), self->m_limits, self->m_hooks);
        self->m_connections.insert(connection.get());
        connection->start();
        self->accept();
    });
}

void caller_server::forget(caller_connection* connection)
{
    m_connections.erase(connection);
}

void caller_server::stopAccepting()
{
    error_code ignored; // Nothing is left to do about an acceptor that fails to close.
    m_acceptor.close(ignored);
}

void caller_server::closeConnections()
{
    // Closing one removes it from the set.
    const std::vector<caller_connection*> connections(m_connections.begin(), m_connections.end());
    for (caller_connection* connection : connections)
        connection->closeAfterAnswer();
}

}
