#pragma once

#include "coordination/entry/caller_error.h"

namespace sardinelb {

struct claim_result;

// What the caller is told when its idempotency key was not claimed. The result must not be Claimed.
caller_error refusalFor(const claim_result&);

}
