#pragma once

#include "coordination/claims/claim_read.h"
#include "coordination/claims/claim_transaction.h"
#include "coordination/entry/answer_end_action.h"
#include "coordination/entry/answer_error_action.h"
#include "coordination/entry/answer_part_action.h"
#include "coordination/log_action.h"
#include "coordination/messages/send_to_peer_action.h"

#include <variant>

namespace sardinelb {

// An action that an entry has to carry out after an event. Actions are carried out in order.
using entry_action = std::variant<send_to_peer_action, answer_part_action, answer_end_action, answer_error_action,
    claim_transaction, claim_read, log_action>;

}
