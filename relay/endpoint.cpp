#include "relay/endpoint.h"

#include <charconv>
#include <string>

namespace sardinelb {

std::optional<boost::asio::ip::tcp::endpoint> tcpEndpoint(std::string_view address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    // make_address reads only up to a zero byte.
    if (address.find('\0') != std::string_view::npos)
        return std::nullopt;
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(std::string(address.substr(0, colon)), error);
    unsigned short port = 0;
    const std::string_view digits = address.substr(colon + 1);
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    const bool isPort = parsed.ec == std::errc {} && parsed.ptr == digits.data() + digits.size() && port != 0;
    if (error || !isPort)
        return std::nullopt;
    return boost::asio::ip::tcp::endpoint(ip, port);
}

std::optional<boost::asio::ip::udp::endpoint> udpEndpoint(std::string_view address, unsigned short port)
{
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(std::string(address.substr(0, address.rfind(':'))), error);
    if (error)
        return std::nullopt;
    return boost::asio::ip::udp::endpoint(ip, port);
}

}
