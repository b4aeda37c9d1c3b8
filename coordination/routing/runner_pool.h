#pragma once

#include "coordination/routing/pool_baseline.h"
#include "state/time.h"

#include <cstdint>
#include <vector>

namespace sardinelb {

struct router_settings;
struct routed_runner;

// The runners of one pool in one entry's order of preference. The order is a rendezvous hash of the names of entry and
// runner: each entry has its own order, and adding or removing a runner or an entry does not change the order of the
// others. The pool does not own its runners.
class runner_pool {
public:
    void add(routed_runner&);

    // Sorts the runners and selects the subset. Call it after the last add().
    void rank(const router_settings&);

    const std::vector<routed_runner*>& all() const { return m_ranked; }

    // Runners to use: in order of rank until the configured number of them accept work, including those in between that
    // do not. Half of the number comes from the entry's own zone if it has enough runners.
    const std::vector<routed_runner*>& subset() const { return m_subset; }

    // Selects the subset again. Call it when a runner has started or stopped accepting work.
    void refreshSubset(const router_settings&);

    // Medians over the runners of the subset, updated a few times per second.
    const pool_baseline& baseline(time_point now);

    // Moving average of the completion tokens of routed requests.
    double typicalTokens() const { return m_typicalTokens; }
    void recordTokens(double tokens);

    // Copies the average from the previous state of the pool.
    void copyTypicalTokens(const runner_pool&);

private:
    std::vector<routed_runner*> m_ranked;
    std::vector<routed_runner*> m_subset;
    pool_baseline m_baseline;
    time_point m_baselineUpdatedAt = time_point::min();
    double m_typicalTokens = 0;
    std::uint64_t m_requests = 0;
};

}
