#pragma once

#include "coordination/entry/caller_error.h"

namespace sardinelb {

struct claim_result;

// Error for a caller whose idempotency key was not claimed. The verdict must not be Claimed.
caller_error refusalFor(const claim_result&);

}
