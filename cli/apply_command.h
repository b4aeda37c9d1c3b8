#pragma once

#include "cli/command_output.h"

#include <string>

namespace sardinelb {

struct command_context;

// Commits the difference between the file and the configuration in the table. Entities that the file does not list stay
// unless `prune` is set. A configured runner that the file lists without a target keeps its target, because operators
// drain runners by command.
command_outcome applyFile(const command_context&, const std::string& path, bool prune);

}
