#pragma once

#include "coordination/attempt_id.h"

namespace sardinelb {

// Reply to a cancel or a query.
struct cancelled_message {
    attempt_id attempt;
    // True when the attempt has not been dispatched to the runner and never will be.
    bool neverDispatched = false;
};

}
