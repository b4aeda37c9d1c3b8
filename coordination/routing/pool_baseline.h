#pragma once

#include "state/time.h"

#include <vector>

namespace sardinelb {

struct routed_runner;

// What is usual among the runners of one pool; slow runners are told apart from it. Zero means unknown.
struct pool_baseline {
    duration tokenInterval {};
    duration firstPart {};
};

// Takes medians over the runners.
pool_baseline baselineOf(const std::vector<routed_runner*>&);

// Time to the first part of an answer above which a runner counts as slow. duration::max() when nothing is known.
duration slowFirstPart(const pool_baseline&);

// Whether the runner is so much slower than usual that it is avoided.
bool isSlow(const routed_runner&, const pool_baseline&);

// Time per token of the runner relative to the usual one; 1 when unknown.
double relativeTokenTime(const routed_runner&, const pool_baseline&);

}
