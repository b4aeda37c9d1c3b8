#include "coordination/routing/prefix_hints.h"

#include <algorithm>

namespace sardinelb {

namespace {

// Holders stored for each prefix. More of them would improve routing too little for the memory that they take.
constexpr std::size_t maxHolders = 4;

}

prefix_hints::prefix_hints(std::size_t capacity)
    : m_holders(capacity)
{
}

void prefix_hints::onCached(std::uint64_t prefixDigest, const runner_id& runner)
{
    std::vector<runner_id>& holders = m_holders.touch(prefixDigest);
    std::erase(holders, runner);
    holders.insert(holders.begin(), runner);
    holders.resize(std::min(holders.size(), maxHolders));
}

void prefix_hints::onEvicted(std::uint64_t prefixDigest, const runner_id& runner)
{
    if (!m_holders.find(prefixDigest))
        return;
    std::vector<runner_id>& holders = m_holders.touch(prefixDigest);
    std::erase(holders, runner);
    if (holders.empty())
        m_holders.erase(prefixDigest);
}

void prefix_hints::removeRunner(const runner_id& runner)
{
    m_holders.eraseIf([&](std::vector<runner_id>& holders) {
        std::erase(holders, runner);
        return holders.empty();
    });
}

std::vector<runner_id> prefix_hints::holders(std::uint64_t prefixDigest) const
{
    const std::vector<runner_id>* found = m_holders.find(prefixDigest);
    return found ? *found : std::vector<runner_id>();
}

}
