#pragma once

#include "coordination/queueing/token_usage.h"
#include "state/ids.h"

#include <string>

namespace sardinelb {

// Ends a complete answer.
struct answer_end_action {
    request_id request;
    token_usage usage;
    // Plain services: the response of the runner. Models: unused.
    int httpStatus = 0;
    std::string contentType;
    std::string body;
};

}
