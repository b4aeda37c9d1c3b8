#pragma once

#include "state/ids.h"

#include <string>

namespace sardinelb {

// Writes one log line about a decision.
struct log_action {
    // Component that made the decision, such as "route".
    std::string part;
    request_id request;
    std::string text;
};

}
