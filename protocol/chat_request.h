#pragma once

#include "protocol/protocol_error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace sardinelb {

// Body of POST /v1/chat/completions.
struct chat_request {
    // Model name in any naming scheme.
    std::string model;
    // All messages in order, each as "role: content\n".
    std::string prompt;
    std::uint32_t maxTokens = 0;
    bool stream = false;
};

// Limit on completion tokens if the request sets none, and the highest limit that a request may set.
constexpr std::uint32_t defaultMaxTokens = 256;
constexpr std::uint32_t maxTokensLimit = 32768;

// Parses the request body. Unused fields, such as temperature, are accepted and ignored. Error: Malformed, with the
// field and the expected value.
protocol_result<chat_request> parseChatRequest(std::string_view body);

}
