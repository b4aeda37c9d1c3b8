#pragma once

#include "state/time.h"

#include <chrono>
#include <cstdint>

namespace sardinelb::stand_ins {

// Capacity and speed of an engine.
struct batch_settings {
    // Maximum number of streams that generate at the same time.
    std::uint64_t slots = 8;
    // Time between two tokens of one stream.
    duration tokenInterval = std::chrono::milliseconds(20);
    double promptTokensPerMillisecond = 20;
    // KV cache in tokens, for running streams and cached prefixes together.
    std::uint64_t kvCapacity = 262'144;
};

}
