#pragma once

#include "state/ids.h"

namespace sardinelb {

// Why a runner was chosen.
enum class route_reason {
    // The less loaded of the candidates that were drawn.
    LeastLoaded,
    // The runner is likely to hold the prompt prefix in its cache.
    PrefixAffinity,
    // The runner was avoided as slow and gets a single request to show that it has recovered.
    Probe,
    // The only runner that may take the request.
    OnlyChoice,
};

// Name for logs and metrics, as in "least_loaded".
const char* toString(route_reason);

// The runner chosen for one attempt.
struct route_decision {
    runner_id runner;
    route_reason reason = route_reason::LeastLoaded;
    // Load of the chosen runner at the decision, in expected tokens per slot.
    double load = 0;
    // Number of runners that could have taken the request.
    int candidates = 0;
};

}
