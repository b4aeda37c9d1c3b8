#pragma once

#include "cli/exit_code.h"
#include "state/document_fault.h"
#include "state/layer_result.h"

#include <string>

namespace sardinelb {

struct state_error;

// Error of a command. `subject` is the offending file, entity or service.
struct command_error {
    exit_code code;
    std::string subject;
    std::string detail;
};

template <typename T>
using command_result = layer_result<T, command_error>;

// Converts an error of the state layer.
command_error toCommandError(const state_error&);

// Converts the errors found in a file.
command_error toCommandError(const document_faults&);

}
