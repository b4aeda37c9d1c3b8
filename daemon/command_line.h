#pragma once

#include <string>

namespace sardinelb {

// Exit codes of sardinelbd.
enum class exit_code {
    Success = 0,
    // The command line is wrong.
    Usage = 2,
    // The settings are wrong; nothing was started.
    BadSettings = 3,
    // An address cannot be bound.
    CannotListen = 4,
};

// What the command line of sardinelbd asks for.
struct command_line {
    std::string configFile;
    std::string logLevel = "info";
    bool checkOnly = false;
    bool showHelp = false;
    bool showVersion = false;
    // Empty, or what is wrong with the command line.
    std::string error;
};

command_line parseCommandLine(int argc, char** argv);

// Text of --help.
std::string helpText();

}
