#include "coordination/entry/tracked_attempt.h"

#include "coordination/queueing/team_share.h"

#include <algorithm>
#include <cmath>

namespace sardinelb {

namespace {

// Limit on a team's demandAhead. A team at half its contract, whose requests are spread over the runners at random, exceeds
// this in less than one of a hundred requests (M/D/1 queue at load 0.5).
constexpr double allowedDemandAhead = 4;
// Limit on an attempt's attemptsAhead. Attempts ahead by less than this have at most been started slightly early.
constexpr double allowedAttemptsAhead = 0.5;
constexpr int highestLevel = 8;

}

time_point justAfter(time_point time) { return time == time_point::max() ? time : time + duration(1); }

std::int64_t remainingTokens(const tracked_attempt& attempt)
{
    const std::int64_t generated = attempt.generatedTokens;
    if (generated < attempt.request.cost.completionTokens.value())
        return attempt.request.cost.completionTokens.value() - generated;
    // Completion lengths are heavy-tailed: an unusually long attempt is expected to double its length.
    return generated < attempt.highQuantileTokens ? attempt.highQuantileTokens - generated : generated;
}

int shareLevel(const tracked_attempt& attempt)
{
    if (isAboveShare(attempt))
        return highestLevel;
    return static_cast<int>(std::lround(std::min<double>(highestLevel - 1, attempt.demandAhead)));
}

bool isAboveShare(const tracked_attempt& attempt)
{
    return attempt.demandAhead > allowedDemandAhead && attempt.attemptsAhead > allowedAttemptsAhead;
}

bool isLong(attempt_group group) { return group == attempt_group::Long || group == attempt_group::BatchLong; }

bool isBatch(const tracked_attempt& attempt) { return attempt.request.serviceClass == service_class::Batch; }

}
