#pragma once

#include "state/ids.h"

#include <cstddef>

namespace sardinelb::fakes {

class serving_simulation;

// External events that can affect a request.
enum class serving_fault {
    EntryKilled,
    // Past the deadline of the request; connections survive.
    EntryPaused,
    // Long enough for its peers to close the connections.
    EntryPausedLong,
    // Restarts with a new incarnation.
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

// Name for reports, such as "entry-killed".
const char* toString(serving_fault);

// Whether the fault must not fail any request: planned operations, late messages, and callers that disconnect.
bool isHarmless(serving_fault);

// Injects the fault now at the given entry, at the given agent, or between the two.
void inject(serving_simulation&, serving_fault, const request_id&, std::size_t entry, std::size_t agent);

}
