#pragma once

#include "state/time.h"

#include <cstdint>
#include <deque>

namespace sardinelb {

// One entry's part of the allowance for retries at one pool. All entries together may send `ratio` retries a request
// and `slack` more in any window; each entry takes the part of the slack that falls to it and earns from the requests
// that it has seen. Pure state machine.
class retry_budget_share {
public:
    struct settings {
        double ratio = 0;
        double slack = 0;
        duration window = std::chrono::seconds(10);
    };

    // A process that starts does not know what its predecessor spent, nor how many entries there are; it takes hardly
    // any of the slack in its first window.
    retry_budget_share(settings, time_point startedAt);

    void onRequest(time_point now);

    // Whether one more retry stays within this entry's part, given the number of entries alive.
    bool canRetry(std::size_t entriesAlive, time_point now);

    void recordRetry(time_point now);

private:
    void forget(time_point now);

    settings m_settings;
    time_point m_startedAt;
    std::deque<time_point> m_requests;
    std::deque<time_point> m_retries;
};

}
