#pragma once

#include "state/ids.h"
#include "state/time.h"

#include <unordered_map>

namespace sardinelb {

struct runner_crash;

// Tells which crashes of runners are evidence against the prompts that waited there. Handles the crash of a rank that ends the requests
// on all ranks of its group, and runners that crash because they get too much. Pure state machine; time is passed in.
class crash_attribution {
public:
    // Whether a prompt may be the cause. The answer is the same for all requests that waited for the same process.
    bool isEvidence(const runner_crash&, time_point now);

private:
    struct group_stop {
        runner_process_id firstProcess;
        time_point at;
    };

    std::unordered_map<group_id, group_stop> m_stops;
};

}
