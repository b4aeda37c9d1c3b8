#pragma once

#include "coordination/attempt_id.h"

namespace sardinelb {

// Answers a cancel or a query.
struct cancelled_message {
    attempt_id attempt;
    // True when the attempt was never dispatched to the runner and never will be.
    bool neverDispatched = false;
};

}
