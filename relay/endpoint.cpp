#include "relay/endpoint.h"

#include <charconv>
#include <string>

namespace sardinelb {

std::optional<boost::asio::ip::tcp::endpoint> tcpEndpoint(std::string_view address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(std::string(address.substr(0, colon)), error);
    unsigned short port = 0;
    const std::string_view digits = address.substr(colon + 1);
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error || parsed.ec != std::errc {} || port == 0)
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
