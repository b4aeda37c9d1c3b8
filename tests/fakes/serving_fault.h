#pragma once

#include "state/ids.h"

#include <cstddef>

namespace sardinelb::fakes {

class serving_simulation;

// Everything that can happen to a request from outside.
enum class serving_fault {
    EntryKilled,
    // Past the deadline of the request; connections survive.
    EntryPaused,
    // Long enough for its peers to close the connections.
    EntryPausedLong,
    // Comes back with a new incarnation.
    AgentRestarted,
    // Past the admission timeout; connections survive.
    AgentPaused,
    AgentPausedLong,
    ConnectionRestored,
    ConnectionCut,
    RunnerRefuses,
    RunnerBreaksCall,
    RunnerStalls,
    RunnerSlow,
    LinkLate,
    CallerLeaves,
    RunnerDrained,
    AgentStopped,
    EntryStopped,
};

inline constexpr std::size_t servingFaults = 17;

// Name for reports, as in "entry-killed".
const char* toString(serving_fault);

// Whether the fault is a planned operation or delay that must not cost a request its answer.
bool isHarmless(serving_fault);

// Lets the fault happen now to the request's entry, to the given agent, or between the two.
void inject(serving_simulation&, serving_fault, const request_id&, std::size_t entry, std::size_t agent);

}
