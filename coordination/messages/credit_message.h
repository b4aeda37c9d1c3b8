#pragma once

#include "coordination/attempt_id.h"
#include "state/units.h"

namespace sardinelb {

// Allows the agent to send this many more bytes of an answer.
struct credit_message {
    attempt_id attempt;
    byte_count bytes;
};

}
