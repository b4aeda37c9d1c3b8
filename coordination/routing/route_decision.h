#pragma once

#include "state/ids.h"

namespace sardinelb {

// Why a runner was chosen.
enum class route_reason {
    // The least loaded of the randomly drawn candidates.
    LeastLoaded,
    // The runner is likely to hold the prompt prefix in its cache.
    PrefixAffinity,
    // The runner is avoided as failing or slow and gets a single request to check whether it has recovered.
    Probe,
    // The only eligible runner.
    OnlyChoice,
};

// Name for logs and metrics, such as "least_loaded".
const char* toString(route_reason);

// The runner chosen for one attempt.
struct route_decision {
    runner_id runner;
    route_reason reason = route_reason::LeastLoaded;
    // Load of the chosen runner at the time of the decision, in expected tokens per slot.
    double load = 0;
    // Number of eligible runners.
    int candidates = 0;
};

}
