#pragma once

#include <optional>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

namespace sardinelb {

// Parses an IP address and port, such as "10.1.0.4:8080". Returns nothing for any other text.
std::optional<boost::asio::ip::tcp::endpoint> tcpEndpoint(std::string_view address);

// Returns the IP address of a text such as "10.1.0.4:8080" with `port` instead of its port.
std::optional<boost::asio::ip::udp::endpoint> udpEndpoint(std::string_view address, unsigned short port);

}
