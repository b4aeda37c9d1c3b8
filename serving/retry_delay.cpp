#include "serving/retry_delay.h"

namespace sardinelb {

namespace {

// The store normally answers a starting entry within a few ms; after this time it is considered down.
constexpr duration storeResponseTimeout = std::chrono::milliseconds(300);

constexpr duration startupRetryDelay = std::chrono::milliseconds(500);

// Outages of the store last seconds. Callers wait at most a third of their timeout before a retry: 2.7 s for streams.
constexpr duration minOutageRetryDelay = std::chrono::milliseconds(2000);
constexpr duration outageRetryJitter = std::chrono::milliseconds(600);

}

duration retryDelayWithoutConfiguration(duration sinceStart, double random)
{
    if (sinceStart < storeResponseTimeout)
        return startupRetryDelay;
    return minOutageRetryDelay + std::chrono::duration_cast<duration>(outageRetryJitter * random);
}

}
