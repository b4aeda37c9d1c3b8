#pragma once

#include "cli/command_error.h"

#include <string>

namespace sardinelb {

// Returns the content of a file. Error: InvalidInput if it cannot be read.
command_result<std::string> readFile(const std::string& path);

}
