#include "expert_map/demand_route.h"

#include <algorithm>
#include <cmath>

namespace sardinelb {

namespace {

// Demand shifts within seconds, so more frequent reports gain little.
constexpr double minIntervalSeconds = 0.1;

double intervalSeconds(double reportsPerInterval, std::size_t reportBytes, double bytesPerSecond)
{
    return std::max(minIntervalSeconds, reportsPerInterval * static_cast<double>(reportBytes) / bytesPerSecond);
}

}

demand_route chooseDemandRoute(std::uint32_t groupSize, std::size_t reportBytes, double bytesPerSecond)
{
    demand_route route;
    route.groupSize = groupSize;
    double seconds = intervalSeconds(groupSize, reportBytes, bytesPerSecond);
    // Passing reports on adds the wait at the collector, which pays only if direct reports would be rare.
    if (seconds > 2 * minIntervalSeconds) {
        route.ranksPerCollector = static_cast<std::uint32_t>(std::ceil(std::sqrt(groupSize)));
        seconds = intervalSeconds(route.ranksPerCollector, reportBytes, bytesPerSecond);
    }
    route.interval = std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
    return route;
}

}
