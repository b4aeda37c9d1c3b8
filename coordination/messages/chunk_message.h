#pragma once

#include "coordination/attempt_id.h"

#include <cstdint>
#include <string>

namespace sardinelb {

// A part of an answer. The sequence numbers of an attempt start at 0 and have no gaps.
struct chunk_message {
    attempt_id attempt;
    std::uint64_t sequence = 0;
    // Models: index of the first token in `bytes`, and number of tokens. Plain services: both 0.
    std::uint32_t firstToken = 0;
    std::uint32_t tokens = 0;
    std::string bytes;
};

}
