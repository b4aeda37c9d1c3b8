#pragma once

#include "cli/command_output.h"

#include <string>

namespace sardinelb {

struct command_context;

// Shows the log lines of all entries about one request. Error NotFound: all entries responded and none has any.
command_outcome explainRequest(const command_context&, const std::string& request);

}
