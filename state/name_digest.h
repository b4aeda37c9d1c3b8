#pragma once

#include <cstdint>
#include <string_view>

namespace sardinelb {

// Returns a 64-bit digest (XXH3) of the text, the same on every daemon. For hashing and sharding, not for secrets.
std::uint64_t nameDigest(std::string_view text, std::uint64_t seed = 0);

}
