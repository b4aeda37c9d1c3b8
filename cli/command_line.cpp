#include "cli/command_line.h"

#include <getopt.h>

#include <algorithm>
#include <array>

namespace sardinelb {

namespace {

enum option_code {
    Help = 'h',
    Version = 'V',
    Config = 'c',
    CheckConfig = 256,
    LogLevel,
    Json,
    Prune,
};

constexpr std::array longOptions {
    option { "help", no_argument, nullptr, Help },
    option { "version", no_argument, nullptr, Version },
    option { "config", required_argument, nullptr, Config },
    option { "check-config", no_argument, nullptr, CheckConfig },
    option { "log-level", required_argument, nullptr, LogLevel },
    option { "json", no_argument, nullptr, Json },
    option { "prune", no_argument, nullptr, Prune },
    option { nullptr, 0, nullptr, 0 },
};

constexpr std::array<const char*, 4> logLevels { "error", "warn", "info", "debug" };

bool applyOption(command_line& line, int code, const char* argument)
{
    switch (code) {
    case Help:
        line.help = true;
        return true;
    case Version:
        line.version = true;
        return true;
    case Config:
        line.configFile = argument;
        return true;
    case CheckConfig:
        line.checkConfig = true;
        return true;
    case LogLevel:
        line.logLevel = argument;
        return std::find(logLevels.begin(), logLevels.end(), line.logLevel) != logLevels.end();
    case Json:
        line.json = true;
        return true;
    case Prune:
        line.prune = true;
        return true;
    default:
        return false;
    }
}

}

command_result<command_line> parseCommandLine(int argc, char* const* argv)
{
    command_line line;
    // optind = 0 restarts getopt_long; opterr = 0 leaves error messages to the caller.
    optind = 0;
    opterr = 0;
    while (true) {
        const int current = std::max(optind, 1);
        const int code = getopt_long(argc, argv, "hVc:", longOptions.data(), nullptr);
        if (code == -1)
            break;
        if (!applyOption(line, code, optarg))
            return command_error { exit_code::Usage, argv[std::min(current, argc - 1)],
                "unknown option, or its value is missing or unknown" };
    }
    line.arguments.assign(argv + optind, argv + argc);
    return line;
}

std::string helpText()
{
    return "Usage: sardinelb [OPTION]... COMMAND [ARGUMENT]...\n"
           "\n"
           "Commands:\n"
           "  validate FILE                   check a configuration file\n"
           "  apply FILE                      commit the difference between a file and the table\n"
           "  contract list                   list the contracts of all teams\n"
           "  contract get TEAM               show a contract and the limits derived from it\n"
           "  contract set TEAM FIELD=VALUE.. change fields of a contract\n"
           "  runner list                     list runners and their target state\n"
           "  runner drain NAME               drain a runner, or all runners of an instance: finish its work, accept no more\n"
           "  runner start NAME               let it accept work again\n"
           "  runner stop NAME                drain it; it may be shut down when its work is finished\n"
           "  status                          show the status of all daemons\n"
           "  explain REQUEST                 show the decisions of all entries about a request\n"
           "\n"
           "Options:\n"
           "  -c, --config FILE      settings file (JSON), default /etc/sardinelb/cli.json\n"
           "      --check-config     check the settings file and exit\n"
           "      --json             print one JSON object instead of tables\n"
           "      --log-level LEVEL  error, warn, info or debug; log lines go to standard error; default warn\n"
           "      --prune            apply: also remove entities that the file does not list\n"
           "  -h, --help             print this text\n"
           "  -V, --version          print the version\n"
           "\n"
           "Exit codes:\n"
        + exitCodeList();
}

}
