#pragma once

#include "state/time.h"
#include "state/units.h"

#include <cstdint>

namespace sardinelb {

struct contract;

// Every limit on one team's traffic. All are derived from its contract; none is set on its own.
struct derived_limits {
    token_count tokensPerSecond;
    // Tokens that the team may use above its rate after a pause.
    token_count burst;
    double requestsPerSecond = 0;
    // Requests that may arrive at once after a pause.
    double requestBurst = 0;
    // Number of equal shards into which rate and burst are split. Each shard has its own limit owner, so that one
    // daemon need not handle all lease messages of a large team.
    std::uint32_t limitShards = 1;
    // Limit on concurrent requests over all entries.
    std::uint32_t inFlight = 0;
    // Weight in fair queueing at the agents.
    double weight = 0;
    // Retries allowed per request, as a long-run average.
    double retryRatio = 0;
    duration answerWithin {};
};

// Derives all limits from a contract.
derived_limits limitsFor(const contract&);

}
