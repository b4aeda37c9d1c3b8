#pragma once

#include "state/ids.h"
#include "state/time.h"

namespace sardinelb {

// A runner's process that says, in the list or in an answer, that it is cold. Entries pass it on, because not all of them read the
// list.
struct cold_runner {
    runner_process_id process;
    duration timeLeft {};

    friend bool operator==(const cold_runner&, const cold_runner&) = default;
};

}
