#pragma once

#include "coordination/entry/caller_error.h"
#include "coordination/entry/caller_request.h"
#include "coordination/entry/request_stage.h"
#include "state/ids.h"
#include "state/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sardinelb {

// One request in flight at its entry.
struct request_state {
    caller_request request;
    request_stage stage = request_stage::Waiting;
    time_point answerBy;
    // When the timeout of the stage expires.
    time_point stageDeadline;
    // Current attempt: its number (0 before the first), its runner, and the agent's incarnation.
    std::uint32_t attempt = 0;
    runner_id runner;
    incarnation agentIncarnation;
    std::uint64_t nextSequence = 0;
    // Total of all attempts.
    std::uint32_t tokensReceived = 0;
    std::string body;
    bool mayHaveRun = false;
    // Attempts that failed before their answer began although the runner may have run them.
    std::uint32_t failuresBeforeAnswer = 0;
    bool callerDisconnected = false;
    // Whether the request holds the claim of its idempotency key.
    bool holdsClaim = false;
    // For RecordingNotRun.
    std::optional<caller_error> pendingError;
    std::vector<runner_id> triedRunners;
};

}
