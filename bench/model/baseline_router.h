#pragma once

#include "coordination/routing/load_report.h"
#include "coordination/routing/runner_view.h"
#include "state/ids.h"
#include "state/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>
#include <vector>

namespace sardinelb::bench {

// Baselines for the entry's router: each knows all runners.
class baseline_router {
public:
    enum class kind {
        // The runner with the fewest waiting and running requests by its last report, plus what this entry has sent
        // since.
        LeastLoaded,
        RoundRobin,
        Random,
    };

    baseline_router(kind, const std::vector<runner_view>&, std::uint64_t seed);

    runner_id choose();
    void onLoadReport(const load_report&);
    void onAttemptStarted(const runner_id&);

private:
    std::size_t leastLoaded();

    kind m_kind;
    std::vector<runner_id> m_runners;
    std::vector<std::uint32_t> m_load;
    std::size_t m_next = 0;
    std::mt19937_64 m_random;
};

}
