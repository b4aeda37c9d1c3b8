#pragma once

#include "relay/http_server_connection.h"
#include "serving/caller_limits.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace sardinelb {

class memory_budget;

// Accepts connections on one address and serves HTTP requests on them.
class http_listener : public std::enable_shared_from_this<http_listener> {
public:
    http_listener(const boost::asio::any_io_executor&, http_server_connection::hooks);

    // Returns false, with `problem` set, if the address cannot be listened on.
    bool listen(const std::string& address, std::string& problem);

    // Applies to connections accepted from now on.
    void setLimits(const caller_limits& limits) { m_limits = limits; }

    // Applies to connections accepted from now on. The budget may refuse connections.
    void setMemoryBudget(std::shared_ptr<memory_budget> budget) { m_budget = std::move(budget); }

    // Closes the listening socket.
    void stopAccepting();

    // Announces with the next response on each connection that it closes after it. Connections stay open until then.
    void announceClose();

    // Closes idle connections, and the others after their current response.
    void closeConnections();

    std::size_t connectionCount() const { return m_connections.size(); }

private:
    void accept();
    void removeConnection(http_server_connection*);

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::shared_ptr<http_server_connection::hooks> m_hooks;
    caller_limits m_limits;
    std::shared_ptr<memory_budget> m_budget;
    std::unordered_set<http_server_connection*> m_connections;
    bool m_isCloseAnnounced = false;
};

}
