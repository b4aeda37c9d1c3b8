#pragma once

#include "state/pool.h"
#include "state/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace sardinelb::fakes {

// Parameters of a serving simulation.
struct simulation_settings {
    std::size_t entries = 2;
    std::size_t agents = 2;
    pool_kind kind = pool_kind::Model;
    std::uint64_t seed = 1;
    // Number of requests that a runner processes concurrently.
    std::uint32_t slots = 1;
    duration answerWithin = std::chrono::seconds(3);
    // Retry budget earned per request; a contract grants 0.1.
    double retryRatio = 0.1;
};

}
