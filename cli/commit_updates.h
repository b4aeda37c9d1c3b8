#pragma once

#include "cli/command_output.h"
#include "state/entity_update.h"

#include <vector>

namespace sardinelb {

class change_log;
struct command_context;

// Commits the updates, pushes the changes to the entries and reports whether they are accepted. Splits updates that are
// too large for one change. Without updates, pushes the latest change again, so that repeating an interrupted command
// completes the acceptance. The log must be loaded.
command_outcome commitUpdates(const command_context&, change_log&, const std::vector<entity_update>&);

}
