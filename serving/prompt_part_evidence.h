#pragma once

#include "state/ids.h"
#include "state/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace sardinelb {

// What one entry knows about a prompt part that may crash the runners of a pool. Entries exchange it, because each sees only its own
// requests. Times are ages, so that clocks need not agree.
struct prompt_part_evidence {
    struct crash {
        runner_process_id process;
        duration age {};
    };

    pool_id pool;
    prompt_part_id part;
    // Position of the part in the prompts, from 0. Later parts are more specific.
    std::uint32_t position = 0;
    // Runners that ended while a request with the part waited for its answer, since an answer to such a request last came.
    std::vector<crash> crashes;
    // Time since an answer to a request with the part came. Nothing if none has.
    std::optional<duration> answerAge;
    // Time for which requests with the part are still rejected. Zero if they are not.
    duration quarantineLeft {};
    // How often the part has been quarantined.
    std::uint32_t quarantineCount = 0;
};

}
