#include "tests/stand_ins/server_options.h"

#include "tests/stand_ins/command_line.h"

namespace sardinelb::stand_ins {

void addServerOptions(command_line& line, server_options& options)
{
    line.add("port", "TCP port on 127.0.0.1; 0 picks a free one", options.port);
    line.add("seed", "seed of the random generator", options.seed);
}

}
