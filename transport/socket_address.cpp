#include "transport/socket_address.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace sardinelb {

namespace {

transport_error invalidAddress(std::string_view text)
{
    return { transport_errc::BadAddress, std::string(text), "must be an IP address and a port, as in 127.0.0.1:7100" };
}

}

transport_result<socket_address> parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return invalidAddress(text);
    std::string_view ip = text.substr(0, colon);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
        ip = ip.substr(1, ip.size() - 2);
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error != std::errc() || end != digits.data() + digits.size())
        return invalidAddress(text);
    boost::system::error_code parseError;
    boost::asio::ip::make_address(std::string(ip), parseError);
    if (parseError)
        return invalidAddress(text);
    return socket_address { std::string(ip), port };
}

std::string toString(const socket_address& address)
{
    const bool v6 = address.ip.find(':') != std::string::npos;
    return (v6 ? "[" + address.ip + "]" : address.ip) + ":" + std::to_string(address.port);
}

}
