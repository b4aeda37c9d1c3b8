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
    // Group of the runner. Empty if it has none, or none is known.
    group_id group {};
    // Whether the runner was cold, or held more requests than it can queue, so that it may have crashed without the help of a prompt.
    bool isCold = false;
    bool isOverrun = false;
};

}
