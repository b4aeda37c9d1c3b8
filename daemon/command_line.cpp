#include "daemon/command_line.h"

#include <getopt.h>

#include <array>

namespace sardinelb {

namespace {

enum option_value {
    OptionHelp = 'h',
    OptionVersion = 'V',
    OptionConfig = 'c',
    OptionCheck = 'k',
    OptionLogLevel = 'l',
};

}

std::string helpText()
{
    return "Usage: sardinelbd --config FILE [OPTION]...\n"
           "Runs one daemon of sardinelb in the role given by its settings.\n\n"
           "  --config FILE      read the settings (JSON, see docs/OPERATIONS.md)\n"
           "  --check-config     check the settings, list all faults, and exit\n"
           "  --log-level LEVEL  trace, debug, info, warn or error (default info)\n"
           "  --help             show this text\n"
           "  --version          show the version\n\n"
           "Exit codes: 0 stopped by a signal or settings are valid; 2 invalid command line;\n"
           "3 invalid settings; 4 an address cannot be bound.\n";
}

command_line parseCommandLine(int argc, char** argv)
{
    static const std::array<option, 6> options { { { "help", no_argument, nullptr, OptionHelp },
        { "version", no_argument, nullptr, OptionVersion }, { "config", required_argument, nullptr, OptionConfig },
        { "check-config", no_argument, nullptr, OptionCheck },
        { "log-level", required_argument, nullptr, OptionLogLevel }, { nullptr, 0, nullptr, 0 } } };
    command_line parsed;
    int value = 0;
    while ((value = getopt_long(argc, argv, "hVc:kl:", options.data(), nullptr)) != -1) {
        switch (value) {
        case OptionHelp:
            parsed.showHelp = true;
            break;
        case OptionVersion:
            parsed.showVersion = true;
            break;
        case OptionConfig:
            parsed.configFile = optarg;
            break;
        case OptionCheck:
            parsed.checkOnly = true;
            break;
        case OptionLogLevel:
            parsed.logLevel = optarg;
            break;
        default:
            parsed.error = "see --help";
        }
    }
    if (optind < argc)
        parsed.error = std::string("unexpected argument \"") + argv[optind] + "\"";
    const bool needsFile = !parsed.showHelp && !parsed.showVersion;
    if (needsFile && parsed.configFile.empty() && parsed.error.empty())
        parsed.error = "--config FILE is missing";
    return parsed;
}

}
