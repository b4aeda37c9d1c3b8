#pragma once

#include "state/units.h"

namespace sardinelb {

// Tokens that a runner reports as consumed by one request.
struct token_usage {
    token_count promptTokens;
    token_count completionTokens;
};

}
