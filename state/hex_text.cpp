#include "state/hex_text.h"

#include <algorithm>

namespace sardinelb {

namespace {

constexpr std::size_t sha256Digits = 64;

}

const char* const sha256DigestExpected = "expected a SHA-256 digest of 64 lower-case hexadecimal digits";

std::string toHex(const unsigned char* bytes, std::size_t count)
{
    constexpr const char* digits = "0123456789abcdef";
    std::string text;
    text.reserve(2 * count);
    for (std::size_t i = 0; i < count; ++i) {
        text += digits[bytes[i] >> 4U];
        text += digits[bytes[i] & 0xFU];
    }
    return text;
}

bool isSha256Digest(const std::string& text)
{
    const auto isLowerHex = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    return text.size() == sha256Digits && std::all_of(text.begin(), text.end(), isLowerHex);
}

}
