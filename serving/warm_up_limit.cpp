#include "serving/warm_up_limit.h"

#include <algorithm>
#include <cmath>

namespace sardinelb {

namespace {

// Evenly spaced requests are at most the rate, rounded up, in any second. The margin covers timers that fire late.
constexpr double roundingMargin = 0.1;

// The rest is for entries that others take for gone, or have not heard of yet.
constexpr double sharedPart = 0.8;

double sharedPerSecond(const warm_up_limit& limit)
{
    return std::max(1.0, std::floor(limit.maxPerSecond * sharedPart));
}

}

double warmUpShare(const warm_up_limit& limit, std::size_t position, std::size_t entryCount)
{
    const double users = std::min(std::max(1.0, static_cast<double>(entryCount)), sharedPerSecond(limit));
    if (static_cast<double>(position) >= users)
        return 0;
    const double wholeRequests = std::max(1.0, std::floor(sharedPerSecond(limit) / users));
    return std::min(limit.requestsPerSecond / users, wholeRequests - roundingMargin);
}

double warmUpShareOfUnsettledEntry(const warm_up_limit& limit)
{
    return warmUpShare(limit, 0, static_cast<std::size_t>(sharedPerSecond(limit)));
}

}
