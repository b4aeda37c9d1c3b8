#include "tests/stand_ins/prefix_cache.h"

#include <xxhash.h>

#include <memory>

namespace sardinelb::stand_ins {

prefix_cache::prefix_cache(std::uint64_t capacityTokens)
    : m_capacityTokens(capacityTokens)
{
}

std::uint64_t prefix_cache::cachedTokens(std::string_view prompt) const
{
    std::uint64_t tokens = 0;
    for (const auto& current : blocksOf(prompt)) {
        if (!m_byDigest.contains(current.digest))
            break;
        tokens += blockTokens;
    }
    return tokens;
}

std::vector<cache_change> prefix_cache::store(std::string_view prompt)
{
    std::vector<cache_change> changes;
    auto blocks = blocksOf(prompt);
    // Otherwise a prompt that is larger than the cache would evict its own start.
    if (blocks.size() * blockTokens > m_capacityTokens)
        blocks.resize(m_capacityTokens / blockTokens);
    // In reverse order, so that the first block of the prompt becomes the most recently used one.
    for (auto current = blocks.rbegin(); current != blocks.rend(); ++current) {
        const auto known = m_byDigest.find(current->digest);
        if (known != m_byDigest.end()) {
            m_blocks.splice(m_blocks.begin(), m_blocks, known->second);
            continue;
        }
        m_blocks.push_front(*current);
        m_byDigest[current->digest] = m_blocks.begin();
        changes.push_back({ true, current->digest, current->prefixBytes });
    }
    evict(changes);
    return changes;
}

std::vector<cache_change> prefix_cache::setCapacity(std::uint64_t tokens)
{
    std::vector<cache_change> changes;
    m_capacityTokens = tokens;
    evict(changes);
    return changes;
}

std::vector<prefix_cache::block> prefix_cache::blocksOf(std::string_view prompt)
{
    const std::unique_ptr<XXH3_state_t, XXH_errorcode (*)(XXH3_state_t*)> state(XXH3_createState(), XXH3_freeState);
    XXH3_64bits_reset(state.get());
    std::vector<block> blocks;
    for (std::uint64_t end = blockBytes; end <= prompt.size(); end += blockBytes) {
        XXH3_64bits_update(state.get(), prompt.data() + end - blockBytes, blockBytes);
        blocks.push_back({ XXH3_64bits_digest(state.get()), end });
    }
    return blocks;
}

void prefix_cache::evict(std::vector<cache_change>& changes)
{
    while (usedTokens() > m_capacityTokens) {
        const auto& victim = m_blocks.back();
        changes.push_back({ false, victim.digest, victim.prefixBytes });
        m_byDigest.erase(victim.digest);
        m_blocks.pop_back();
    }
}

}
