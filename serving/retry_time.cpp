#include "serving/retry_time.h"

namespace sardinelb {

namespace {

// The store answers a starting entry within some ms; after this time it is taken to be down.
constexpr duration storeResponseTimeout = std::chrono::milliseconds(300);

constexpr duration startupRetryDelay = std::chrono::milliseconds(500);

// Outages of the store last seconds. Callers wait for a third of their time at most, which is 2.7 s for streams.
constexpr duration minOutageRetryDelay = std::chrono::milliseconds(2000);
constexpr duration outageRetryJitter = std::chrono::milliseconds(600);

}

duration retryTimeWithoutConfiguration(duration sinceStart, double random)
{
    if (sinceStart < storeResponseTimeout)
        return startupRetryDelay;
    return minOutageRetryDelay + std::chrono::duration_cast<duration>(outageRetryJitter * random);
}

}
