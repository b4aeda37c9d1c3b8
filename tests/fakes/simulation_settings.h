#pragma once

#include "state/pool.h"
#include "state/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace sardinelb::fakes {

// Shape of a serving world.
struct simulation_settings {
    std::size_t entries = 2;
    std::size_t agents = 2;
    pool_kind kind = pool_kind::Model;
    std::uint64_t seed = 1;
    // Requests that each runner works on at the same time.
    std::uint32_t slots = 1;
    duration answerWithin = std::chrono::seconds(3);
    // Retries allowed per request; the contract gives a tenth.
    double retryRatio = 0.1;
};

}
