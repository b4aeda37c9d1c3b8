#include "transport/open_listener.h"

#include "transport/socket_address.h"

namespace sardinelb {

namespace asio = boost::asio;
using asio::ip::tcp;

transport_result<std::uint16_t> openListener(tcp::acceptor& acceptor, const socket_address& address)
{
    boost::system::error_code error;
    const tcp::endpoint endpoint(asio::ip::make_address(address.ip, error), address.port);
    if (!error)
        acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return transport_error { transport_errc::BadAddress, toString(address), error.message() };
    return acceptor.local_endpoint().port();
}

}
