#pragma once

#include "state/time.h"

#include <cstdint>

namespace sardinelb {

// Properties of the engines of a pool of model runners. Runners that form groups divide `expertSets` sets of experts
// among their ranks.
struct engine_profile {
    // Requests that one runner writes at once.
    std::uint32_t slots = 1;
    // Token steps in one pass.
    std::uint32_t stepsPerPass = 1;
    // Time of a token step, and what each request that writes adds to it, in ms.
    double stepMs = 0;
    double stepMsPerRequest = 0;
    // Tokens of the usual prompt and the usual answer.
    double usualPromptTokens = 0;
    double usualAnswerTokens = 0;
    double promptTokensPerSecond = 0;
    std::uint32_t expertSets = 0;
    std::uint32_t experts = 0;
    // Experts of a set that a rank can hold, and how many of them may be new in one map.
    std::uint32_t expertsPerRank = 0;
    std::uint32_t newExpertsPerRank = 0;
    // Time to copy one expert to a rank.
    duration expertCopyTime {};
};

}
