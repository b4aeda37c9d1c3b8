#pragma once

#include "state/time.h"

namespace sardinelb {

struct tracked_attempt;

// Time at which a waiting attempt should start. The slack of an attempt is the time from its admission to its last safe
// start; the target lies at a fraction of the slack that depends on the team's share and on the service class. Under
// overload, all attempts that are kept thus start in time, and more urgent attempts start earlier.
time_point targetStartOf(const tracked_attempt&);

// Whether the first attempt starts before the second.
bool startsBefore(const tracked_attempt&, const tracked_attempt&);

// Whether the first attempt is refused before the second when the queue is full.
bool refusedBefore(const tracked_attempt&, const tracked_attempt&);

// Whether the first attempt is paused before the second.
bool pausedBefore(const tracked_attempt&, const tracked_attempt&);

}
