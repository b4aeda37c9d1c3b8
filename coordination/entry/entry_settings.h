#pragma once

#include "coordination/routing/router_settings.h"
#include "state/time.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace sardinelb {

// Fixed parameters of an entry.
struct entry_settings {
    router_settings routing;
    std::uint64_t seed = 0;
    // Makes the tokens of claims unique: names the entry and its incarnation.
    std::string claimWriter;
    // An agent that has not answered a submit after this time is taken as slow.
    duration admissionTimeout = std::chrono::seconds(1);
    // An agent whose connection broke may come back within this time and answer a query.
    duration reconnectTimeout = std::chrono::seconds(3);
    // Time to claim an idempotency key; a request whose claim is not recorded by then is refused.
    duration claimTimeout = std::chrono::seconds(2);
    // Time that the answer "not run" waits until the key is free again.
    duration releaseTimeout = std::chrono::milliseconds(500);
    // After the deadline of a request, time to learn whether it was run.
    duration cancelTimeout = std::chrono::milliseconds(500);
};

}
