#pragma once

#include <cstdint>
#include <string>

namespace sardinelb::fakes {

// Token `index` of the answer to a prompt; a function of the two arguments only.
std::string expectedToken(const std::string& prompt, std::uint32_t index);

// The first `tokens` tokens of the answer to a prompt.
std::string expectedStream(const std::string& prompt, std::uint32_t tokens);

// Prefix of request bodies whose answers are long enough to be sent in three chunks.
inline constexpr const char* longAnswerPrefix = "long ";

// The answer of a plain service to a request body.
std::string expectedServiceAnswer(const std::string& body);

}
