#include "tests/stand_ins/token_text.h"

#include "state/name_digest.h"

#include <array>
#include <cstdio>

namespace sardinelb::stand_ins {

std::uint64_t promptTokenCount(std::string_view prompt)
{
    constexpr std::uint64_t bytesPerToken = 4;
    return (prompt.size() + bytesPerToken - 1) / bytesPerToken;
}

token_text::token_text(std::string_view prompt, std::uint64_t seed)
    : m_digest(nameDigest(prompt, seed))
{
}

std::string token_text::token(std::uint64_t index) const
{
    constexpr int upperHalfShift = 32;
    constexpr std::size_t textBytesWithTerminator = 10;
    const auto bits = nameDigest(std::to_string(index), m_digest) >> upperHalfShift;
    std::array<char, textBytesWithTerminator> text {};
    std::snprintf(text.data(), text.size(), "%08x ", static_cast<unsigned>(bits));
    return text.data();
}

std::string token_text::tokens(std::uint64_t from, std::uint64_t to) const
{
    std::string text;
    for (auto index = from; index < to; ++index)
        text += token(index);
    return text;
}

}
