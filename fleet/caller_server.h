#pragma once

#include "relay/caller_connection.h"
#include "serving/caller_limits.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace sardinelb {

// Accepts connections on one address and serves HTTP on them.
class caller_server : public std::enable_shared_from_this<caller_server> {
public:
    caller_server(const boost::asio::any_io_executor&, caller_connection::hooks);

    // Returns false, with `problem` set, if the address cannot be listened on.
    bool listen(const std::string& address, std::string& problem);

    // Bounds for connections that are accepted from now on.
    void setLimits(const caller_limits& limits) { m_limits = limits; }

    // Accepts no further connections.
    void stopAccepting();

    // Lets every connection end after its current answer, and closes those that are idle.
    void closeConnections();

    std::size_t connectionCount() const { return m_connections.size(); }

private:
    void accept();
    void forget(caller_connection*);

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::shared_ptr<caller_connection::hooks> m_hooks;
    caller_limits m_limits;
    std::unordered_set<caller_connection*> m_connections;
};

}
