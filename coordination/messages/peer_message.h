#pragma once

#include "coordination/messages/admission_message.h"
#include "coordination/messages/cancel_message.h"
#include "coordination/messages/cancelled_message.h"
#include "coordination/messages/changes_message.h"
#include "coordination/messages/changes_request_message.h"
#include "coordination/messages/chunk_message.h"
#include "coordination/messages/credit_message.h"
#include "coordination/messages/finish_message.h"
#include "coordination/messages/lease_grants_message.h"
#include "coordination/messages/lease_requests_message.h"
#include "coordination/messages/limit_handover_message.h"
#include "coordination/messages/load_update_message.h"
#include "coordination/messages/query_message.h"
#include "coordination/messages/submit_message.h"

#include <variant>

namespace sardinelb {

// Any message from one daemon to another. std::monostate stands for a frame that has only a header.
using peer_message = std::variant<std::monostate, submit_message, admission_message, chunk_message, finish_message,
    cancel_message, cancelled_message, query_message, credit_message, load_update_message, changes_request_message,
    changes_message, lease_requests_message, lease_grants_message, limit_handover_message>;

}
