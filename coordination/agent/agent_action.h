#pragma once

#include "coordination/agent/start_call_action.h"
#include "coordination/agent/stop_call_action.h"
#include "coordination/claims/hold_call_action.h"
#include "coordination/log_action.h"
#include "coordination/messages/send_to_peer_action.h"

#include <variant>

namespace sardinelb {

// An action that an agent has to carry out after an event. Actions are carried out in order.
using agent_action
    = std::variant<send_to_peer_action, start_call_action, stop_call_action, hold_call_action, log_action>;

}
