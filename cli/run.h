#pragma once

#include "cli/cli_services.h"

#include <functional>
#include <iosfwd>
#include <string>

namespace sardinelb {

// Streams and factories that the program uses.
struct run_environment {
    std::ostream& out;
    std::ostream& errors;
    cli_connector connect;
    // Configures logging for the level of the command line and returns a function that logs at level debug.
    std::function<std::function<void(const std::string&)>(const std::string& level)> openLog;
};

// Runs the program and returns its exit code.
int run(int argc, char* const* argv, const run_environment&);

}
