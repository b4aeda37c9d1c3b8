#pragma once

#include "cli/command_output.h"

#include <string>

namespace sardinelb {

// Validates a configuration file, including references and names, without connecting to any service.
command_outcome validateFile(const std::string& path);

}
