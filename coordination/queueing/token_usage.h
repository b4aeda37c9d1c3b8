#pragma once

#include "state/units.h"

namespace sardinelb {

// Token usage of one request as reported by the runner.
struct token_usage {
    token_count promptTokens;
    token_count completionTokens;
};

}
