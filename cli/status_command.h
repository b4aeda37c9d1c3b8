#pragma once

#include "cli/command_output.h"

namespace sardinelb {

struct command_context;

// Shows the status of all daemons and their runners, and lists the entries that did not respond.
command_outcome showStatus(const command_context&);

}
