#pragma once

#include "coordination/attempt_id.h"

#include <cstdint>

namespace sardinelb {

// Asks, after a lost connection, what became of an attempt. An agent that does not know the attempt records that
// it must never run and answers with `cancelled`.
struct query_message {
    attempt_id attempt;
    // Chunks from this sequence number on are sent again.
    std::uint64_t nextSequence = 0;
};

}
