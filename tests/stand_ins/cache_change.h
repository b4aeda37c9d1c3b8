#pragma once

#include <cstdint>

namespace sardinelb::stand_ins {

// The last block of a prefix was stored in the prefix cache or evicted from it.
struct cache_change {
    bool stored = false;
    // XXH3 digest (nameDigest with seed 0) of the prefix, and its length.
    std::uint64_t prefixDigest = 0;
    std::uint64_t prefixBytes = 0;

    friend bool operator==(const cache_change&, const cache_change&) = default;
};

}
