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
    // Identifies the entry and its incarnation, which makes the tokens of claims unique.
    std::string claimWriter;
    // An agent that has not replied to a submit after this time is considered slow.
    duration admissionTimeout = std::chrono::seconds(1);
    // How long an agent whose connection broke may take to reconnect, so that it can answer a query.
    duration reconnectTimeout = std::chrono::seconds(3);
    // Time to claim an idempotency key. A request whose claim is not recorded by then is refused.
    duration claimTimeout = std::chrono::seconds(2);
    // How long the answer "not run" waits for the release of the idempotency key.
    duration releaseTimeout = std::chrono::milliseconds(500);
    // Time after the deadline of a request to find out whether it ran.
    duration cancelTimeout = std::chrono::milliseconds(500);
};

}
