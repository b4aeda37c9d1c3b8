#pragma once

#include <string>

namespace sardinelb {

// Exit codes of sardinelbd.
enum class exit_code {
    Success = 0,
    // Invalid command line.
    Usage = 2,
    // Invalid settings; nothing was started.
    BadSettings = 3,
    // An address cannot be bound.
    CannotListen = 4,
};

// Parsed command line of sardinelbd.
struct command_line {
    std::string configFile;
    std::string logLevel = "info";
    bool checkOnly = false;
    bool showHelp = false;
    bool showVersion = false;
    // Error message; empty if the command line is valid.
    std::string error;
};

command_line parseCommandLine(int argc, char** argv);

// Text of --help.
std::string helpText();

}
