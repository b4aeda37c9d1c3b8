#include "serving/retry_delay.h"

namespace sardinelb {

namespace {

// The store answers a starting entry within some ms; after this time it is taken to be down.
constexpr duration usualFirstRead = std::chrono::milliseconds(300);

constexpr duration retryWhileStarting = std::chrono::milliseconds(500);

// Outages of the store last seconds. Callers wait for a third of their time at most, which is 2.7 s for streams.
constexpr duration shortestOutageRetry = std::chrono::milliseconds(2000);
constexpr duration outageRetrySpread = std::chrono::milliseconds(600);

}

duration retryDelayWithoutConfiguration(duration sinceStart, double random)
{
    if (sinceStart < usualFirstRead)
        return retryWhileStarting;
    return shortestOutageRetry + std::chrono::duration_cast<duration>(outageRetrySpread * random);
}

}
