#pragma once

#include "state/ids.h"
#include "state/time.h"

#include <chrono>
#include <cstdint>

namespace sardinelb {

// Parameters of the switch protocol, the same for the coordinator and the ranks of a group.
struct map_switch_settings {
    group_id group;
    std::uint32_t rankCount = 0;
    // A proposal that is not prepared by all ranks within this time is aborted. Counted anew by a new coordinator.
    duration prepareTimeout = std::chrono::seconds(60);
    // Interval at which unanswered messages are sent again.
    duration resendInterval = std::chrono::milliseconds(500);
    // Pause after a failed access to the table.
    duration tableRetryInterval = std::chrono::milliseconds(500);
    // Interval at which a rank that is held up by a missing decision reads the table. 256 ranks that wait at the same
    // time then cost an eighth of the 2,000 reads/s that the table can serve.
    duration decisionPollInterval = std::chrono::seconds(1);
};

}
