#pragma once

#include "coordination/log_action.h"
#include "coordination/messages/order_message.h"
#include "coordination/table_call.h"

#include <variant>

namespace sardinelb {

// An action that order_issuer asks its host to perform.
using order_action = std::variant<table_call, order_message, log_action>;

}
