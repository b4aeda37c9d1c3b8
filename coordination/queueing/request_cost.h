#pragma once

#include "state/units.h"

namespace sardinelb {

// Work that a request is expected to cause on a runner. Plain-service calls have zero tokens.
struct request_cost {
    token_count promptTokens;
    // Expected number of completion tokens, never above the caller's bound.
    token_count completionTokens;
};

}
