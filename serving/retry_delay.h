#pragma once

#include "state/time.h"

namespace sardinelb {

// Time after which a caller should come back to an entry that has no configuration yet. Answers a loss of power while the
// store is down: callers who come back at once are refused a second time, and most come back only once.
//
// `sinceStart` is the age of the entry's process, `random` a number in [0, 1) that spreads the returns.
duration retryDelayWithoutConfiguration(duration sinceStart, double random);

}
