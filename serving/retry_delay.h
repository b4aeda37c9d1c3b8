#pragma once

#include "state/time.h"

namespace sardinelb {

// Delay after which a caller should retry at an entry that has no configuration yet. Handles a power loss while the store
// is down: callers that retry at once would be rejected again, and most retry only once.
//
// `sinceStart` is the age of the entry's process, `random` a number in [0, 1) that spreads the retries.
duration retryDelayWithoutConfiguration(duration sinceStart, double random);

}
