#pragma once

#include "cli/command_output.h"

#include <string>
#include <vector>

namespace sardinelb {

struct command_context;

// Lists the contracts of all teams.
command_outcome listContracts(const command_context&);

// Shows the contract of one team, given by name in any scheme, and the limits derived from it.
command_outcome showContract(const command_context&, const std::string& team);

// Changes fields of the contract of one team. `assignments` have the form "answer_within_ms=60000".
command_outcome setContract(
    const command_context&, const std::string& team, const std::vector<std::string>& assignments);

}
