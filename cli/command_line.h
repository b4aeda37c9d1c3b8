#pragma once

#include "cli/command_error.h"

#include <string>
#include <vector>

namespace sardinelb {

// Parsed command line.
struct command_line {
    bool help = false;
    bool version = false;
    bool checkConfig = false;
    bool json = false;
    bool prune = false;
    std::string configFile = "/etc/sardinelb/cli.json";
    // One of "error", "warn", "info" and "debug".
    std::string logLevel = "warn";
    // The command and its arguments.
    std::vector<std::string> arguments;
};

// Parses the arguments of main(). Error: Usage.
command_result<command_line> parseCommandLine(int argc, char* const* argv);

// Text of --help, including all exit codes.
std::string helpText();

}
