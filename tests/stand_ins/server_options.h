#pragma once

#include <cstdint>

namespace sardinelb::stand_ins {

class command_line;

// Options of all stand-ins that serve HTTP.
struct server_options {
    // 0 picks a free port.
    std::uint64_t port = 0;
    std::uint64_t seed = 1;
};

// Declares --port and --seed.
void addServerOptions(command_line&, server_options&);

}
