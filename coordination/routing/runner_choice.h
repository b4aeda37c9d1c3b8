#pragma once

#include "state/ids.h"
#include "state/time.h"

#include <cstdint>
#include <random>
#include <vector>

namespace sardinelb {

class prefix_hints;
class runner_pool;
struct pool_baseline;
struct routed_runner;

// Selects runners for one attempt by load, zone and prefix affinity. The candidates must not be empty.
class runner_choice {
public:
    runner_choice(const runner_pool&, const pool_baseline&, std::mt19937_64&);

    // Expected work ahead of a new attempt on the runner, in tokens per slot at the baseline speed.
    double score(const routed_runner&) const;

    // The less loaded of two random runners in the zone, or of two random runners in other zones if that one is clearly
    // less loaded.
    routed_runner* leastLoaded(const std::vector<routed_runner*>& candidates, const availability_zone_id& zone) const;

    // The candidate that is most likely to hold the prefix.
    routed_runner* holder(
        const std::vector<routed_runner*>& candidates, std::uint64_t prefixDigest, const prefix_hints&) const;

    // Whether the prefill saved by the cached prefix justifies choosing its holder over the alternative.
    bool isWorthwhile(const routed_runner& holder, const routed_runner& alternative, double promptTokens) const;

private:
    routed_runner* lessLoadedOfTwo(const std::vector<routed_runner*>&) const;
    double typicalTokens() const;

    const runner_pool& m_pool;
    const pool_baseline& m_baseline;
    std::mt19937_64& m_random;
};

}
