#pragma once

#include "state/ids.h"

#include <vector>

namespace sardinelb {

// A runner process ended while a request waited for its answer to begin.
struct runner_crash {
    runner_process_id process;
    runner_id runner;
    pool_id pool;
    // Parts of the request's prompt.
    std::vector<prompt_part_id> promptParts;
};

}
