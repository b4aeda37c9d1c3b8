#pragma once

#include "state/time.h"

#include <cstdint>

namespace sardinelb {

// Performance model of the inference engines in a pool of model runners. Runners that form groups divide `expertSets`
// sets of experts among their ranks.
struct engine_profile {
    // Requests that one runner decodes concurrently.
    std::uint32_t slots = 1;
    // Decode steps in one pass of the engine.
    std::uint32_t stepsPerPass = 1;
    // Base duration of a decode step, and the extra time for each concurrent request.
    double stepMs = 0;
    double stepMsPerRequest = 0;
    // Tokens of a typical prompt and a typical response.
    double usualPromptTokens = 0;
    double usualAnswerTokens = 0;
    double promptTokensPerSecond = 0;
    std::uint32_t expertSets = 0;
    std::uint32_t experts = 0;
    // Experts of a set that a rank can hold, and how many of them one expert map may add.
    std::uint32_t expertsPerRank = 0;
    std::uint32_t newExpertsPerRank = 0;
    // Time to copy one expert to a rank.
    duration expertCopyTime {};
};

}
