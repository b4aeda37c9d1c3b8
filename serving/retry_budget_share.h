#pragma once

#include "state/time.h"

#include <cstddef>
#include <deque>

namespace sardinelb {

// One entry's share of the retry budget of a pool. In any window, all entries together may send `ratio` retries per
// request plus `slack` retries. Each entry uses its fraction of the slack and earns retries from the requests that it
// received itself. Pure state machine.
class retry_budget_share {
public:
    struct settings {
        double ratio = 0;
        double slack = 0;
        duration window = std::chrono::seconds(10);
    };

    // A new process knows neither what its predecessor spent nor how many entries there are, so it uses only a small
    // fraction of the slack in its first window.
    retry_budget_share(settings, time_point startedAt);

    void onRequest(time_point now);

    // Whether one more retry stays within this entry's share, given the most entries that were alive at once in the window.
    bool canRetry(std::size_t recentEntries, time_point now);

    // A retry has been decided on. It counts until it is sent or given up, however long it waits for a runner.
    void reserveRetry() { ++m_reservedRetries; }

    // End a reservation. A retry that is sent counts in the window from now on.
    void onRetrySent(time_point now);
    void onRetryGivenUp() { --m_reservedRetries; }

private:
    void dropExpired(time_point now);

    settings m_settings;
    time_point m_startedAt;
    std::deque<time_point> m_requests;
    std::deque<time_point> m_retries;
    std::size_t m_reservedRetries = 0;
};

}
