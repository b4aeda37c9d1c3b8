#include "serving/backlog.h"

namespace sardinelb {

namespace {

// A few late requests are served in slots that become free anyway.
constexpr std::size_t minLateRequests = 4;

// Above this fraction of the capacity a backlog takes too long to clear.
constexpr double maxUtilization = 0.6;

}

bool isBacklogClearable(std::size_t lateRequests, double arrivalsPerSecond, double capacity)
{
    return lateRequests >= minLateRequests && arrivalsPerSecond < maxUtilization * capacity;
}

}
