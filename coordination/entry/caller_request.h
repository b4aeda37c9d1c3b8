#pragma once

#include "coordination/queueing/request_cost.h"
#include "state/derived_limits.h"
#include "state/ids.h"
#include "state/pool.h"
#include "state/service_class.h"

#include <cstdint>
#include <string>

namespace sardinelb {

// A request of a caller after authentication and name resolution.
struct caller_request {
    request_id id;
    team_id team;
    service_class serviceClass = service_class::Standard;
    derived_limits limits;
    pool_id pool;
    pool_kind kind = pool_kind::Model;
    model_id model;
    // Whether the request may safely run more than once.
    bool idempotent = false;
    // The Idempotency-Key of the caller; empty when there is none.
    std::string idempotencyKey;
    // As in submit_message.
    std::string method;
    std::string target;
    std::string body;
    std::uint32_t maxTokens = 0;
    request_cost cost;
    std::uint64_t prefixDigest = 0;
};

}
