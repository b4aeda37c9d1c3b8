#include "tests/stand_ins/prefix_cache.h"

#include "state/name_digest.h"

#include <gtest/gtest.h>

#include <string>

namespace sardinelb::stand_ins {

namespace {

constexpr std::size_t blockBytes = prefix_cache::blockBytes;
constexpr std::uint64_t blockTokens = prefix_cache::blockTokens;

std::string blocks(const std::string& letters)
{
    std::string text;
    for (const char letter : letters)
        text += std::string(blockBytes, letter);
    return text;
}

}

// Guards against hits for a prompt that shares only its end or an incomplete block with a cached one.
TEST(PrefixCache, FindsOnlyWholeBlocksFromTheStart)
{
    prefix_cache cache(100 * blockTokens);
    cache.store(blocks("abc"));
    EXPECT_EQ(cache.cachedTokens(blocks("abd")), 2 * blockTokens);
    EXPECT_EQ(cache.cachedTokens(blocks("bc")), 0U);
    EXPECT_EQ(cache.cachedTokens(blocks("ab").substr(0, blockBytes + 1)), blockTokens);
}

// Guards against a cache that grows without bound or evicts the most recently used prompt.
TEST(PrefixCache, WhenFullEvictsTheLeastRecentlyUsedPromptFromItsEnd)
{
    prefix_cache cache(4 * blockTokens);
    cache.store(blocks("ab"));
    cache.store(blocks("cd"));
    cache.store(blocks("ab"));
    cache.store(blocks("e"));
    EXPECT_EQ(cache.usedTokens(), 4 * blockTokens);
    EXPECT_EQ(cache.cachedTokens(blocks("cd")), blockTokens);
    EXPECT_EQ(cache.cachedTokens(blocks("ab")), 2 * blockTokens);
}

// Guards against events from which a reader cannot reconstruct the content of the cache.
TEST(PrefixCache, ReportsEveryStoredAndEvictedPrefix)
{
    prefix_cache cache(2 * blockTokens);
    const auto prompt = blocks("ab");
    const auto stored = cache.store(prompt);
    const cache_change whole { true, nameDigest(prompt), prompt.size() };
    const cache_change first { true, nameDigest(blocks("a")), blockBytes };
    EXPECT_EQ(stored, (std::vector { whole, first }));
    EXPECT_TRUE(cache.store(prompt).empty());
    const cache_change evicted { false, nameDigest(prompt), prompt.size() };
    EXPECT_EQ(cache.setCapacity(blockTokens), std::vector { evicted });
}

}
