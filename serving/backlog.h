#pragma once

#include <cstddef>

namespace sardinelb {

// Decides whether to work off late requests at the highest rate, at which the streams of all callers may get late. That pays
// while demand is well below that rate, as after a burst or a loss of all machines: the backlog is gone after a few seconds.
// While demand is higher, it would make every stream late and the backlog would stay.
//
// `capacity` is the rate with all slots of the runners in use; both rates are in requests a second.
bool isBacklogClearable(std::size_t lateRequests, double arrivalsPerSecond, double capacity);

}
