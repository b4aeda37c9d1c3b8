#pragma once

#include "transport/transport_error.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>

namespace sardinelb {

struct socket_address;

// Binds the acceptor to the address and starts listening. Returns the bound port. Error: BadAddress. Internal to the
// transport layer.
transport_result<std::uint16_t> openListener(boost::asio::ip::tcp::acceptor&, const socket_address&);

}
