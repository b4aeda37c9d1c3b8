#pragma once

#include "coordination/queueing/lru_map.h"
#include "state/ids.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace sardinelb {

// Tracks which runners are likely to hold which prompt prefixes in their caches. The hints come from cache events that
// may be late, missing or wrong. Memory is bounded: the least recently used prefixes are evicted.
class prefix_hints {
public:
    explicit prefix_hints(std::size_t capacity);

    void onCached(std::uint64_t prefixDigest, const runner_id&);
    void onEvicted(std::uint64_t prefixDigest, const runner_id&);

    // Removes all hints for the runner.
    void removeRunner(const runner_id&);

    // Runners that are likely to hold the prefix, most recently reported first.
    std::vector<runner_id> holders(std::uint64_t prefixDigest) const;

private:
    lru_map<std::uint64_t, std::vector<runner_id>> m_holders;
};

}
