#pragma once

#include "state/time.h"

#include <vector>

namespace sardinelb {

struct routed_runner;

// Typical speed of the runners of one pool, used to detect slow runners. Zero means unknown.
struct pool_baseline {
    duration tokenInterval {};
    duration timeToFirstToken {};
};

// Computes the medians over the runners.
pool_baseline baselineOf(const std::vector<routed_runner*>&);

// Time to first token above which a runner counts as slow; duration::max() if the baseline is unknown.
duration slowFirstTokenThreshold(const pool_baseline&);

// Whether the runner is so much slower than the baseline that it must be avoided.
bool isSlow(const routed_runner&, const pool_baseline&);

// Token interval of the runner divided by the baseline; 1 if either is unknown.
double relativeTokenInterval(const routed_runner&, const pool_baseline&);

}
