#pragma once

#include "state/time.h"

namespace sardinelb {

struct tracked_attempt;

// Time at which a waiting attempt should start. An attempt has a slack between its admission and the last start that is
// safe; the target is at a part of the slack that depends on the team's share and on the service class. Under overload,
// everything that is kept then starts before it is too late, and what is more urgent starts earlier.
time_point targetStartOf(const tracked_attempt&);

// Whether the first attempt is to be started before the second.
bool startsBefore(const tracked_attempt&, const tracked_attempt&);

// Whether the first attempt is to be refused before the second when the queue is full.
bool refusedBefore(const tracked_attempt&, const tracked_attempt&);

// Whether the first attempt is to be paused before the second.
bool pausedBefore(const tracked_attempt&, const tracked_attempt&);

}
