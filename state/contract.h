#pragma once

#include "state/service_class.h"
#include "state/time.h"
#include "state/units.h"

namespace sardinelb {

// Service contract of one team, as configured by an operator. Every limit on the team's traffic is derived from it
// (derived_limits.h).
struct contract {
    // Sustained rate, prompt and completion tokens together, per second.
    token_count tokensPerSecond;
    // Sustained rate of requests per second, model and plain-service calls together.
    double requestsPerSecond = 0;
    service_class serviceClass = service_class::Standard;
    // Promised time from the arrival of a request to the end of its answer.
    duration answerWithin {};

    friend bool operator==(const contract&, const contract&) = default;
};

}
