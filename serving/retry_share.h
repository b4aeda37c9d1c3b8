#pragma once

#include "state/time.h"

#include <cstdint>
#include <deque>

namespace sardinelb {

// One entry's part of the allowance for retries at one pool. All entries together may send `ratio` retries a request
// and `slack` more in any window; each entry takes the part of the slack that falls to it and earns from the requests
// that it has seen. Pure state machine.
class retry_share {
public:
    struct settings {
        double ratio = 0;
        double slack = 0;
        duration window = std::chrono::seconds(10);
    };

    explicit retry_share(settings);

    void requestArrived(time_point now);

    // Whether one more retry stays within this entry's part, given the number of entries alive.
    bool covers(std::size_t entriesAlive, time_point now);

    void spend(time_point now);

private:
    void forget(time_point now);

    settings m_settings;
    std::deque<time_point> m_requests;
    std::deque<time_point> m_retries;
};

}
