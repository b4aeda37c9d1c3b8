#pragma once

#include "transport/transport_error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace sardinelb {

// An IP address and a TCP port.
struct socket_address {
    std::string ip;
    std::uint16_t port = 0;
};

// Parses "127.0.0.1:7100" or "[::1]:7100". Error: BadAddress, with the text as subject.
transport_result<socket_address> parseAddress(std::string_view text);

std::string toString(const socket_address&);

}
