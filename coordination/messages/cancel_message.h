#pragma once

#include "coordination/attempt_id.h"

namespace sardinelb {

// Asks the agent to stop an attempt, or never to run it if it has not been dispatched.
struct cancel_message {
    attempt_id attempt;
};

}
