#pragma once

#include <string>

namespace sardinelb {

// Exit codes of the command-line tool. Scripts rely on the numbers; docs/cli.md lists them.
enum class exit_code {
    Success = 0,
    InternalError = 1,
    Usage = 2,
    InvalidInput = 3,
    NotFound = 4,
    Conflict = 5,
    TableUnavailable = 6,
    OutcomeUnknown = 7,
    ZoneUnreachable = 8,
    NotAccepted = 9,
    DaemonsUnreachable = 10,
};

// Meaning of the code in one sentence.
const char* describe(exit_code);

// All exit codes with their meanings, one per line, for --help.
std::string exitCodeList();

}
