#pragma once

#include "tests/stand_ins/cache_change.h"

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sardinelb::stand_ins {

// LRU cache of computed prompt prefixes in blocks of 16 tokens (64 bytes). A block is identified by the whole prefix
// that ends with it. The end of a prompt is evicted before its start.
class prefix_cache {
public:
    static constexpr std::uint64_t blockTokens = 16;
    static constexpr std::uint64_t blockBytes = 64;

    explicit prefix_cache(std::uint64_t capacityTokens);

    // Number of tokens in the longest cached prefix of the prompt.
    std::uint64_t cachedTokens(std::string_view prompt) const;

    // Stores the complete blocks of the prompt and marks them as used. Returns the stored and evicted blocks, in order.
    std::vector<cache_change> store(std::string_view prompt);

    // Changes the capacity. Returns the evicted blocks, in order.
    std::vector<cache_change> setCapacity(std::uint64_t tokens);

    std::uint64_t usedTokens() const { return m_blocks.size() * blockTokens; }

private:
    struct block {
        std::uint64_t digest;
        std::uint64_t prefixBytes;
    };

    static std::vector<block> blocksOf(std::string_view prompt);
    void evict(std::vector<cache_change>&);

    std::uint64_t m_capacityTokens;
    // Most recently used first.
    std::list<block> m_blocks;
    std::unordered_map<std::uint64_t, std::list<block>::iterator> m_byDigest;
};

}
