#pragma once

#include "state/ids.h"
#include "state/time.h"

#include <chrono>
#include <cstdint>

namespace sardinelb {

// Parameters of the switch protocol. The coordinator and the ranks of a group use the same values.
struct map_switch_settings {
    group_id group;
    std::uint32_t rankCount = 0;
    // A proposal that not all ranks have prepared within this time is aborted. A new coordinator restarts the timeout.
    duration prepareTimeout = std::chrono::seconds(60);
    // Interval at which unanswered messages are resent.
    duration resendInterval = std::chrono::milliseconds(500);
    // Delay before a failed table request is retried.
    duration tableRetryInterval = std::chrono::milliseconds(500);
    // Interval at which a rank that is blocked by a missing decision reads the table. 256 ranks that wait at the same
    // time then use an eighth of the 2,000 reads/s that the table can serve.
    duration decisionPollInterval = std::chrono::seconds(1);
};

}
