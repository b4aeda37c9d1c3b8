#pragma once

#include "coordination/routing/pool_baseline.h"
#include "state/time.h"

#include <cstdint>
#include <vector>

namespace sardinelb {

struct router_settings;
struct routed_runner;

// The runners of one pool in the order in which one entry prefers them. The order comes from rendezvous hashing of the
// names of entry and runner: each entry has its own order, and a change of one runner or entry leaves the others' as
// it is. The pool does not own its runners.
class runner_pool {
public:
    void add(routed_runner&);

    // Establishes the order. To be called after the last add().
    void rank(const router_settings&);

    const std::vector<routed_runner*>& all() const { return m_ranked; }

    // Runners to use: as many of the first in order that accept work as the settings ask for, and those in between that
    // do not. Half of them are from the entry's own zone if that has so many.
    const std::vector<routed_runner*>& subset() const { return m_subset; }

    // Establishes the subset again; to be called when a runner has begun or ceased to accept work.
    void refreshSubset(const router_settings&);

    // What is usual among the runners of the subset. Taken again a few times a second.
    const pool_baseline& usual(time_point now);

    // Mean completion tokens of the requests routed so far.
    double typicalTokens() const { return m_typicalTokens; }
    void learnTokens(double tokens);

    // Takes over the mean from an earlier state of the pool.
    void keepTypicalTokens(const runner_pool&);

private:
    std::vector<routed_runner*> m_ranked;
    std::vector<routed_runner*> m_subset;
    pool_baseline m_usual;
    time_point m_usualTakenAt = time_point::min();
    double m_typicalTokens = 0;
    std::uint64_t m_requests = 0;
};

}
