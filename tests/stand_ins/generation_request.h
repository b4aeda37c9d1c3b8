#pragma once

#include <cstdint>
#include <string>

namespace sardinelb::stand_ins {

// One stream that an engine is asked to generate.
struct generation_request {
    std::string id;
    std::string prompt;
    // Number of tokens of the complete output, including those before `resumeFrom`.
    std::uint64_t maxTokens = 0;
    // Requests with a lower value start first.
    std::int64_t priority = 0;
    // Index of the first token to generate.
    std::uint64_t resumeFrom = 0;
    std::uint64_t seed = 0;
};

}
