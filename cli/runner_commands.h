#pragma once

#include "cli/command_output.h"
#include "state/runner.h"

#include <string>

namespace sardinelb {

struct command_context;

// Lists all runners with their target state.
command_outcome listRunners(const command_context&);

// Sets the target state of a runner, or of all runners of an instance given by name in any scheme.
command_outcome setRunnerTarget(const command_context&, const std::string& name, runner_target);

}
