#pragma once

#include "coordination/attempt_id.h"
#include "coordination/queueing/request_cost.h"
#include "state/ids.h"
#include "state/pool.h"
#include "state/service_class.h"
#include "state/time.h"

#include <cstdint>
#include <string>

namespace sardinelb {

// Asks an agent to run one attempt.
struct submit_message {
    attempt_id attempt;
    // The agent refuses the attempt when its own incarnation differs.
    incarnation expectedIncarnation;
    team_id team;
    service_class serviceClass = service_class::Standard;
    // Weight of the team in fair queueing, from its contract.
    double weight = 1;
    bool idempotent = false;
    // Time from sending until the attempt must have been dispatched, and until its answer is due.
    duration dispatchWithin {};
    duration answerWithin {};
    request_cost cost;
    // Digest of the prompt prefix for cache affinity; 0 when there is none.
    std::uint64_t prefixDigest = 0;
    pool_kind kind = pool_kind::Model;
    // Plain services: method and target of the HTTP request. Models: unused.
    std::string method;
    std::string target;
    // Plain services: body of the HTTP request. Models: the prompt.
    std::string body;
    // Models: maximum number of completion tokens, and index of the first token to generate (above 0 when a stream is
    // resumed).
    std::uint32_t maxTokens = 0;
    std::uint32_t resumeFrom = 0;
};

}
