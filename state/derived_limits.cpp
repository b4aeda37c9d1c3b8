#include "state/derived_limits.h"

#include "state/contract.h"

#include <algorithm>
#include <cmath>

namespace sardinelb {

namespace {

// Burst as a multiple of the rate: a team may use this many seconds' worth at once.
constexpr double burstSeconds = 10;
constexpr double commonRetryRatio = 0.1;
constexpr double minInFlight = 4;
// For a team with sparse traffic, a limit owner answers about one lease request per request. At 8 requests per second,
// one shard stays below the load that 12,000 teams cause at each of 350 owners anyway (16 requests per second).
constexpr double requestsPerSecondPerShard = 8;
// Keeps the burst of one shard at 80,000 tokens or more, enough for a long prompt.
constexpr double tokensPerSecondPerShard = 8000;

double requestBurstFor(const contract& terms)
{
    return std::max(1.0, terms.requestsPerSecond * burstSeconds);
}

// Requests that rate and burst admit within the deadline of an answer. Each request ends by its deadline, so the rate
// limit implies this bound over all entries.
double inFlightFor(const contract& terms)
{
    const double answerSeconds = std::chrono::duration<double>(terms.answerWithin).count();
    const double admitted = requestBurstFor(terms) + terms.requestsPerSecond * answerSeconds;
    return std::max(minInFlight, std::ceil(admitted));
}

double shardsFor(const contract& terms)
{
    const double byRequests = terms.requestsPerSecond / requestsPerSecondPerShard;
    const double byTokens = static_cast<double>(terms.tokensPerSecond.value()) / tokensPerSecondPerShard;
    return std::max(1.0, std::ceil(std::min(byRequests, byTokens)));
}

}

derived_limits limitsFor(const contract& terms)
{
    const auto tokenRate = static_cast<double>(terms.tokensPerSecond.value());
    derived_limits limits;
    limits.tokensPerSecond = terms.tokensPerSecond;
    limits.burst = token_count(static_cast<std::int64_t>(tokenRate * burstSeconds));
    limits.requestsPerSecond = terms.requestsPerSecond;
    limits.requestBurst = requestBurstFor(terms);
    limits.limitShards = static_cast<std::uint32_t>(shardsFor(terms));
    limits.inFlight = static_cast<std::uint32_t>(inFlightFor(terms));
    limits.weight = std::max(1.0, tokenRate);
    limits.retryRatio = commonRetryRatio;
    limits.answerWithin = terms.answerWithin;
    return limits;
}

}
