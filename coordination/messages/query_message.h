#pragma once

#include "coordination/attempt_id.h"

#include <cstdint>

namespace sardinelb {

// Asks for the state of an attempt after a lost connection. An agent that does not know the attempt records that it
// must never run, and replies with `cancelled`.
struct query_message {
    attempt_id attempt;
    // The agent sends the chunks from this sequence number on again.
    std::uint64_t nextSequence = 0;
};

}
