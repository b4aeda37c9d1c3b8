#pragma once

#include "coordination/attempt_id.h"

namespace sardinelb {

// Asks the agent to stop an attempt, or not to dispatch it if it has not been dispatched yet.
struct cancel_message {
    attempt_id attempt;
};

}
