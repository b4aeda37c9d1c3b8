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

// Whose work goes first. An earlier value is served before, and may pause, a later one.
enum class attempt_group {
    Short,
    Long,
    BatchShort,
    BatchLong,
};

// One attempt with all that a request queue records about it.
struct tracked_attempt {
    queued_request request;
    attempt_phase phase = attempt_phase::Waiting;
    // Order of admission.
    std::uint64_t sequence = 0;
    time_point admittedAt;
    // Start of the present wait or pause.
    time_point idleSince;
    time_point lastProgress;
    // False until progress has been seen since the last start; the time to the first token is not a token interval.
    bool hasProgress = false;
    // The attempt is not paused before this time.
    time_point protectedUntil;
    std::int64_t generatedTokens = 0;
    // Length that the attempt is unlikely to exceed, by what is known at the present time.
    std::int64_t highQuantileTokens = 0;
    // Lane whose fair share the attempt counts in, the team there, the attempt's start tag and its cost. The tag of a
    // waiting attempt is the one that it would get now.
    bool chargedAsLong = false;
    team_share* team = nullptr;
    double startTag = 0;
    double charge = 0;
    // Derived from the above at the present time.
    attempt_group group = attempt_group::Short;
    double attemptsAhead = 0;
    // How far the team's demand is ahead of its share.
    double demandAhead = 0;
    bool overdue = false;
    // The attempt has been dispatched and its answer was due; finishing it is of no use.
    bool late = false;
    // A start after this time is too late.
    time_point lastStart;
    // After a start up to this time, the answer is very likely to be in time.
    time_point safeLastStart;
    // Paused attempts: a resumption after this time is too late.
    time_point lastResume;
    // Attempts of a group start in the order of these times.
    time_point targetStart;
};

// First time after the given one; the latest time there is when there is none after it. What may be done up to a time is
// too late just after it.
time_point justAfter(time_point);

// Expected completion tokens that are still to come.
std::int64_t remainingTokens(const tracked_attempt&);

// Order in which attempts are kept under overload: by how far the demand of their teams is ahead of the share, in whole
// attempts, and last those above the share. A small team within its contract is thus kept before a large one that asks
// for much more than before.
int shareLevel(const tracked_attempt&);

// Whether the attempt is ahead of the team's share, and the team's demand is further ahead than chance explains.
bool isAboveShare(const tracked_attempt&);

// Whether the group is that of long work.
bool isLong(attempt_group);

// Whether the attempt is batch work. Batch work whose target start has come is in the group of other work.
bool isBatch(const tracked_attempt&);

}
