#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace sardinelb::stand_ins {

// Number of tokens that the fake engine counts for a prompt: one per four bytes, rounded up.
std::uint64_t promptTokenCount(std::string_view prompt);

// Output of the fake engine for a prompt. Every token has nine bytes: eight hexadecimal digits, which depend only on
// the prompt, the seed and the index of the token, and a space.
class token_text {
public:
    token_text(std::string_view prompt, std::uint64_t seed);

    std::string token(std::uint64_t index) const;

    // Returns the concatenated tokens with `from` <= index < `to`.
    std::string tokens(std::uint64_t from, std::uint64_t to) const;

private:
    std::uint64_t m_digest;
};

}
