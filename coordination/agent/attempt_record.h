#pragma once

#include "coordination/agent/attempt_stage.h"
#include "coordination/messages/chunk_message.h"
#include "coordination/messages/finish_message.h"
#include "coordination/messages/submit_message.h"
#include "state/ids.h"
#include "state/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace sardinelb {

// What an agent knows about one attempt.
struct attempt_record {
    submit_message submit;
    // The entry that the answer goes to.
    daemon_id entry;
    incarnation entryIncarnation;
    attempt_stage stage = attempt_stage::Queued;
    // Number of the current call to the runner; results of earlier calls are ignored.
    std::uint32_t call = 0;
    // Chunks and tokens sent so far.
    std::uint64_t chunkCount = 0;
    std::uint32_t tokensSent = 0;
    // Bytes that may still be sent before the entry gives more credit.
    std::int64_t credit = 0;
    bool held = false;
    // Chunks kept for a query after a lost connection; only for calls that may not run twice.
    std::vector<chunk_message> keptChunks;
    std::optional<finish_message> result;
    // When the answer is due, by the clock of the agent.
    time_point answerBy {};
    // Set while the entry is not connected.
    std::optional<time_point> orphanedAt;
    // When a finished attempt or a tombstone may be forgotten.
    time_point forgetAt = time_point::max();
};

}
