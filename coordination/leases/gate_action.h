#pragma once

#include "coordination/agent/runner_call.h"
#include "coordination/log_action.h"
#include "coordination/table_call.h"

#include <variant>

namespace sardinelb {

// An action that order_gate asks its host to perform.
using gate_action = std::variant<table_call, runner_call, log_action>;

}
