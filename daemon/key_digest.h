#pragma once

#include <string>
#include <string_view>

namespace sardinelb {

// Returns the SHA-256 digest of a key as lower-case hexadecimal digits.
std::string keyDigest(std::string_view key);

// Returns the key from the value of an "Authorization: Bearer KEY" header, or an empty string.
std::string bearerKey(std::string_view authorization);

}
