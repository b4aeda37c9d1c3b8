#pragma once

#include "serving/waiting_request.h"
#include "state/time.h"

#include <deque>
#include <optional>
#include <vector>

namespace sardinelb {

// Queue of the requests of one pool that wait for a free slot. Measures the rate at which slots become free, and decides
// which request is served next and which are rejected. Handles demand above the capacity of the runners for some seconds.
// Pure state machine.
class admission_queue {
public:
    // Whether a new request would start in time if it were queued, at the higher of the measured rate and
    // `freedSlotsPerSecond`. If not, it is to be rejected at once.
    bool canServeInTime(const waiting_request&, double freedSlotsPerSecond, time_point now) const;

    void add(const waiting_request&);
    void remove(std::uint64_t ticket);

    // Removes and returns the request to serve next. Within a priority, requests that can still meet their objective and
    // are no caller retries come first, oldest first. Caller retries follow, then late requests, both newest first, since
    // an old request has the least time left to complete.
    std::optional<waiting_request> takeNext(time_point now);

    // Removes and returns the requests that can no longer be served.
    std::vector<waiting_request> takeExpired(time_point now);

    // Records that a request of the pool got a slot.
    void onDispatch(time_point now);

    // Time after which a caller that is rejected now can expect a free slot.
    duration expectedWait(double freedSlotsPerSecond, time_point now) const;

    std::size_t size() const { return m_waiting.size(); }

private:
    double expectedFreedSlotsPerSecond(double freedSlotsPerSecond, time_point now) const;

    std::vector<waiting_request> m_waiting;
    std::deque<time_point> m_dispatchTimes;
};

}
