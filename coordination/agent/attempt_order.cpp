#include "coordination/agent/attempt_order.h"

#include "coordination/entry/tracked_attempt.h"
#include "coordination/queueing/team_share.h"

#include <algorithm>
#include <chrono>
#include <tuple>

namespace sardinelb {

namespace {

using namespace std::chrono_literals;

// Upper bound on the slack, which limits how long newer work can overtake older work. The slack of batch work is not
// bounded, since old batch work would otherwise overtake all new work of other classes.
constexpr duration maxSlack = 30s;

// Fractions of the slack after which an attempt should start. Smaller fractions speed up work within its share under
// overload, and leave less time for the work that it overtakes: with 0.1 and 0.25 in place of 0.5 and 0.75, up to 1%
// fewer requests were answered in time (crest benchmark). Batch work starts before its last safe start, since it
// often has to wait for a slot.
constexpr double batchFraction = 0.75;
constexpr double aboveShareFraction = 1;
constexpr double interactiveFraction = 0.5;
constexpr double standardFraction = 0.75;
// For teams that hold no slot, so that a small team does not have to wait for large ones.
constexpr double firstInteractiveFraction = 0;
constexpr double firstStandardFraction = 0.1;

double slackFraction(const tracked_attempt& attempt)
{
    if (isBatch(attempt))
        return batchFraction;
    if (isAboveShare(attempt))
        return aboveShareFraction;
    const bool isInteractive = attempt.request.serviceClass == service_class::Interactive;
    if (attempt.team->slots == 0)
        return isInteractive ? firstInteractiveFraction : firstStandardFraction;
    return isInteractive ? interactiveFraction : standardFraction;
}

}

time_point targetStartOf(const tracked_attempt& attempt)
{
    duration slack = std::max(duration::zero(), attempt.safeLastStart - attempt.admittedAt);
    if (!isBatch(attempt))
        slack = std::min(slack, maxSlack);
    const double fraction = slackFraction(attempt);
    return attempt.admittedAt + duration(static_cast<duration::rep>(fraction * static_cast<double>(slack.count())));
}

bool startsBefore(const tracked_attempt& a, const tracked_attempt& b)
{
    const auto key = [](const tracked_attempt& attempt) {
        return std::tuple(attempt.late, attempt.group, attempt.targetStart, attempt.sequence);
    };
    return key(a) < key(b);
}

bool refusedBefore(const tracked_attempt& a, const tracked_attempt& b)
{
    const auto key = [](const tracked_attempt& attempt) {
        return std::tuple(isBatch(attempt), shareLevel(attempt), attempt.request.serviceClass, attempt.attemptsAhead,
            attempt.sequence);
    };
    return key(b) < key(a);
}

bool pausedBefore(const tracked_attempt& a, const tracked_attempt& b)
{
    const auto key = [](const tracked_attempt& attempt) {
        return std::tuple(attempt.late, attempt.group, shareLevel(attempt), remainingTokens(attempt), attempt.sequence);
    };
    return key(b) < key(a);
}

}
