#pragma once

#include "cli/command_error.h"
#include "cli/exit_code.h"

#include <string>

namespace sardinelb {

// Output of a command.
struct command_output {
    // Human-readable; ends with a line break.
    std::string text;
    // The same content as one JSON value.
    std::string json;
    exit_code code = exit_code::Success;
};

using command_outcome = command_result<command_output>;

}
