#pragma once

#include "coordination/queueing/queued_request.h"
#include "state/time.h"

#include <cstdint>
#include <optional>

namespace sardinelb {

struct team_share;

enum class attempt_phase {
    // Never dispatched.
    Waiting,
    Running,
    // Dispatched, and paused since.
    Paused,
};

// Precedence of attempts. Work of an earlier value is served before work of a later one and may pause it.
enum class attempt_group {
    Short,
    Long,
    BatchShort,
    BatchLong,
};

// An attempt and its state in the request queue.
struct tracked_attempt {
    queued_request request;
    attempt_phase phase = attempt_phase::Waiting;
    // Order of admission.
    std::uint64_t sequence = 0;
    time_point admittedAt;
    // Start of the current wait or pause.
    time_point idleSince;
    time_point lastProgress;
    // Whether there was progress since the last start. The time to the first token does not count as a token interval.
    bool hasProgress = false;
    // The attempt is not paused before this time.
    time_point protectedUntil;
    std::int64_t generatedTokens = 0;
    // High quantile of the estimated completion length, given the tokens generated so far.
    std::int64_t highQuantileTokens = 0;
    // Lane whose fair share is charged, the team's share there, the attempt's start tag and its cost. The tag of a
    // waiting attempt is the one that it would get now.
    bool chargedAsLong = false;
    team_share* team = nullptr;
    double startTag = 0;
    double charge = 0;
    // The following fields are derived from the above and the current time.
    attempt_group group = attempt_group::Short;
    double attemptsAhead = 0;
    // How far the team's demand is ahead of its share.
    double demandAhead = 0;
    bool overdue = false;
    // The attempt has been dispatched and its answer is overdue, so that finishing it is useless.
    bool late = false;
    // A start after this time is too late.
    time_point lastStart;
    // When the attempt starts by this time, its answer is very likely to be in time.
    time_point safeLastStart;
    // Paused attempts: resuming after this time is too late.
    time_point lastResume;
    // Sort key of the attempts of a group.
    time_point targetStart;
};

// The next representable time, or time_point::max() when there is none. An action allowed up to a time is too late just
// after it.
time_point justAfter(time_point);

// Expected number of completion tokens not generated yet.
std::int64_t remainingTokens(const tracked_attempt&);

// Rank of the attempt under overload; attempts with higher levels are refused first. The level is the number of whole
// attempts by which the team's demand is ahead of its share, and attempts above the share have the highest level. A
// small team within its contract is thus preferred to a large team whose demand has risen sharply.
int shareLevel(const tracked_attempt&);

// Whether the attempt is ahead of its team's share and the team's demand is further ahead than by random variation.
bool isAboveShare(const tracked_attempt&);

// Whether the group consists of long work.
bool isLong(attempt_group);

// Whether the attempt is batch work. After its target start, batch work moves to a group of other work.
bool isBatch(const tracked_attempt&);

}
