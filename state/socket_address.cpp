#include "state/socket_address.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace sardinelb {

const char* const socketAddressExpected
    = "expected an IP address and a port, as in \"127.0.0.1:7101\" or \"[::1]:7101\"";

namespace {

bool isPort(const std::string& text)
{
    constexpr int maxPort = 65535;
    int port = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, port);
    return parsed.ec == std::errc() && parsed.ptr == end && port >= 1 && port <= maxPort;
}

bool isIpAddress(const std::string& host)
{
    boost::system::error_code error;
    if (host.starts_with('[') && host.ends_with(']'))
        boost::asio::ip::make_address_v6(host.substr(1, host.size() - 2), error);
    else
        boost::asio::ip::make_address_v4(host, error);
    return !error;
}

}

bool isSocketAddress(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    return colon != std::string::npos && isPort(text.substr(colon + 1)) && isIpAddress(text.substr(0, colon));
}

}
