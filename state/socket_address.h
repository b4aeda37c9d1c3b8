#pragma once

#include <string>

namespace sardinelb {

// Describes what isSocketAddress accepts, for messages.
extern const char* const socketAddressExpected;

// Returns whether the text is an IP address and a port, as in "127.0.0.1:7101" or "[::1]:7101".
bool isSocketAddress(const std::string&);

}
