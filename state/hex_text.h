#pragma once

#include <cstddef>
#include <string>

namespace sardinelb {

// Returns the bytes as lower-case hexadecimal digits.
std::string toHex(const unsigned char* bytes, std::size_t count);

// Returns whether the text is a SHA-256 digest of 64 lower-case hexadecimal digits.
bool isSha256Digest(const std::string&);

// Describes what isSha256Digest accepts, for messages.
extern const char* const sha256DigestExpected;

}
