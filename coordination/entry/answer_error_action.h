#pragma once

#include "coordination/entry/caller_error.h"
#include "state/ids.h"

namespace sardinelb {

// Ends a request that has no complete answer.
struct answer_error_action {
    request_id request;
    caller_error error;
};

}
