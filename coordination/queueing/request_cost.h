#pragma once

#include "state/units.h"

namespace sardinelb {

// Expected work of a request on a runner. Calls to plain services have zero tokens.
struct request_cost {
    token_count promptTokens;
    // Expected number of completion tokens, never above the caller's bound.
    token_count completionTokens;
};

}
