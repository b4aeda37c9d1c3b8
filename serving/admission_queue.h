#pragma once

#include "serving/waiting_request.h"
#include "state/time.h"

#include <deque>
#include <optional>
#include <vector>

namespace sardinelb {

// Requests of one pool that wait for room, and the pace at which room appears. Decides who is served next and who is
// turned away. Pure state machine; answers demand that rises above what the runners can do for seconds.
class admission_queue {
public:
    // Whether a new request would be served in time if it waited, at the rate of places that is seen or, if that is higher,
    // possible. If not, it is turned away at once.
    bool canServeInTime(const waiting_request&, double possiblePlacesPerSecond, time_point now) const;

    void add(const waiting_request&);
    void remove(std::uint64_t ticket);

    // Takes the request to serve next: by priority, then those that can still be on time, the oldest first; then the
    // late ones, the youngest first, since an old one has the least time left to end well.
    std::optional<waiting_request> takeNext(time_point now);

    // Takes the requests that can no longer be served.
    std::vector<waiting_request> takeExpired(time_point now);

    // Notes that a request of the pool got a place.
    void onDispatch(time_point now);

    // Time after which a caller that is turned away now may expect a place.
    duration expectedWait(double possiblePlacesPerSecond, time_point now) const;

    std::size_t size() const { return m_waiting.size(); }

private:
    double freedSlotsPerSecond(double possible, time_point now) const;

    std::vector<waiting_request> m_waiting;
    std::deque<time_point> m_placed;
};

}
