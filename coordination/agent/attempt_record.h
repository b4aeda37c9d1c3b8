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

// The state of one attempt at its agent.
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
    // Bytes that may be sent before the entry grants more credit.
    std::int64_t credit = 0;
    // Whether reading of the call's answer is suspended for lack of credit.
    bool held = false;
    // Chunks to send again after a lost connection; only for calls that may not run twice.
    std::vector<chunk_message> keptChunks;
    std::optional<finish_message> result;
    // When the answer is due, on the agent's clock.
    time_point answerBy {};
    // When the connection to the entry was lost; reset by a query.
    std::optional<time_point> orphanedAt;
    // When the record of a finished attempt or a tombstone may be removed.
    time_point forgetAt = time_point::max();
};

}
