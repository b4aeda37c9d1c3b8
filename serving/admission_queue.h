#pragma once

#include "serving/waiting_request.h"
#include "state/time.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace sardinelb {

// Queue of the requests of one pool that wait for a free slot. Measures the rate at which slots become free, and decides
// which request is served next and which are rejected. Handles demand above the capacity of the runners for some seconds.
// Pure state machine.
class admission_queue {
public:
    // Whether a new request would start in time if it were queued: early enough for its objective, or at least before its
    // latest start. If not, it is to be rejected at once. Slots become free at `freedSlotsPerSecond` or at the measured rate, if
    // that is higher.
    bool canServeInTime(const waiting_request&, double freedSlotsPerSecond, time_point now) const;

    // Records that a request of the pool arrived for the first time, whether it has to wait or not.
    void onArrival(time_point now);

    void add(const waiting_request&);
    void remove(std::uint64_t ticket);

    // Removes and returns the request to serve next. Now and then this is the oldest of the lowest priority that can still meet
    // its objective, so that no kind of request starves. Otherwise the highest priority decides. Within a priority, requests
    // that can still meet their objective and are no caller retries come first, by the priority of their route and then the
    // oldest first. Caller retries follow, then late requests, both newest first, since an old request has the least time left
    // to complete.
    std::optional<waiting_request> takeNext(time_point now);

    // Removes and returns the requests whose latest start has passed.
    std::vector<waiting_request> takeExpired(time_point now);

    // Records that a request of the pool got a slot.
    void onDispatch(time_point now);

    // Time after which a caller that is rejected now can expect a free slot. It returns late, so only slots count that requests
    // on time leave.
    duration expectedWait(double freedSlotsPerSecond, time_point now) const;

    std::size_t size() const { return m_waiting.size(); }

    // Number of waiting requests that can no longer meet their objective.
    std::size_t lateCount(time_point now) const;

    // Requests that arrived for the first time, a second.
    double arrivalsPerSecond(time_point now) const;

private:
    double expectedFreedSlotsPerSecond(double freedSlotsPerSecond, time_point now) const;
    // Rate of free slots that new requests leave for late ones.
    double slotsPerSecondForLate(double freedSlotsPerSecond, time_point now) const;
    bool isOnTime(const waiting_request&, time_point now) const;
    std::vector<waiting_request>::iterator nextOfLowestPriority(time_point now);

    std::vector<waiting_request> m_waiting;
    std::deque<time_point> m_dispatchTimes;
    std::deque<time_point> m_arrivalTimes;
    std::uint32_t m_takenCount = 0;
};

}
