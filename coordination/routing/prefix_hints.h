#pragma once

#include "coordination/queueing/recent_map.h"
#include "state/ids.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace sardinelb {

// Which runners are thought to hold which prompt prefixes in their caches. The hints come from events that may be late,
// missing or wrong. Memory is bounded: the prefixes that were touched least recently are dropped.
class prefix_hints {
public:
    explicit prefix_hints(std::size_t capacity);

    void cached(std::uint64_t prefixDigest, const runner_id&);
    void evicted(std::uint64_t prefixDigest, const runner_id&);

    // Drops all hints about the runner.
    void forget(const runner_id&);

    // Runners that are thought to hold the prefix.
    std::vector<runner_id> holders(std::uint64_t prefixDigest) const;

private:
    recent_map<std::uint64_t, std::vector<runner_id>> m_holders;
};

}
