#include "coordination/queueing/slot_policy.h"

#include "coordination/agent/attempt_order.h"
#include "coordination/agent/attempt_table.h"
#include "coordination/queueing/team_share.h"

#include <algorithm>
#include <chrono>

namespace sardinelb {

namespace {

using namespace std::chrono_literals;

// One slot in so many is kept for short work that cannot displace long work, and one in so many for long work. With one
// in 4, the 99th percentile of short requests in demand swings was a third higher (head-of-line bench).
constexpr std::uint32_t slotsPerReserved = 8;
// Wait or pause after which work goes before other work. Long work is promised an answer within tens of seconds, batch
// work within minutes.
constexpr duration longPatience = 5s;
constexpr duration batchPatience = 30s;
// Time for which overdue work keeps its slot. It covers the repeated prefill of a resumed attempt many times over.
constexpr duration protection = 2s;
// A paused attempt competes for slots for this long before it would be too late to resume it.
constexpr duration resumeMargin = 2s;
// Slots stay reserved for short work for this long after some has arrived.
constexpr duration shortWorkMemory = 10s;

duration patienceFor(const tracked_attempt& attempt)
{
    return isBatch(attempt) ? batchPatience : longPatience;
}

bool canBeOverdue(const tracked_attempt& attempt)
{
    return attempt.group != attempt_group::Short && !attempt.late;
}

time_point overdueFrom(const tracked_attempt& attempt)
{
    const time_point outOfPatience = attempt.idleSince + patienceFor(attempt);
    // What has been done of a paused attempt is lost unless it is resumed in time.
    return attempt.phase == attempt_phase::Paused ? std::min(outOfPatience, attempt.lastResume - resumeMargin)
                                                  : outOfPatience;
}

bool isProtected(const tracked_attempt& attempt, time_point now) { return attempt.protectedUntil > now; }

// Late work displaces nothing; otherwise it and what it displaced would pause each other in turn.
bool takesPrecedence(const tracked_attempt& candidate, const tracked_attempt& running, time_point now)
{
    if (candidate.late || running.late)
        return !candidate.late;
    if (candidate.group >= running.group)
        return false;
    // What is done sooner than the candidate would be is left to finish: its slot is free soon.
    if (remainingTokens(running) < remainingTokens(candidate))
        return false;
    if (candidate.team->slots == 0 && !isAboveShare(candidate))
        return true;
    // What has been done so far is lost if the attempt cannot be resumed in time after the candidate. That is worth it
    // only for a team that is within its share and has nothing else running.
    const duration candidateTime = candidate.request.answerBy - candidate.lastResume;
    return now + candidateTime <= running.lastResume;
}

bool holdsLongLane(const tracked_attempt& attempt) { return isLong(attempt.group) && !attempt.late; }

std::uint32_t reservedSlots(std::uint32_t slots) { return slots < 2 ? 0 : std::max(1U, slots / slotsPerReserved); }

tracked_attempt* earliest(tracked_attempt* a, tracked_attempt* b)
{
    if (!a || b->idleSince < a->idleSince)
        return b;
    return a;
}

}

slot_policy::slot_policy(std::uint32_t slots)
    : m_slots(slots)
{
}

void slot_policy::shortWorkArrived(time_point now) { m_lastShortWork = now; }

tracked_attempt* slot_policy::nextForFreeSlot(const attempt_table& table, time_point now) const
{
    tracked_attempt* overdue = nullptr;
    if (hasRoomForOverdue(table, now)) {
        for (tracked_attempt* attempt : table.idle()) {
            if (attempt->overdue && mayStart(*attempt, table, now))
                overdue = earliest(overdue, attempt);
        }
    }
    return overdue ? overdue : nextForTakenSlot(table, now);
}

tracked_attempt* slot_policy::nextForTakenSlot(const attempt_table& table, time_point now) const
{
    tracked_attempt* next = nullptr;
    for (tracked_attempt* attempt : table.idle()) {
        if (next && !startsBefore(*attempt, *next))
            continue;
        if (mayStart(*attempt, table, now))
            next = attempt;
    }
    return next;
}

tracked_attempt* slot_policy::victimFor(
    const tracked_attempt& candidate, const attempt_table& table, time_point now) const
{
    const auto longRunning = std::count_if(
        table.running().begin(), table.running().end(), [](const auto* attempt) { return holdsLongLane(*attempt); });
    tracked_attempt* victim = nullptr;
    for (tracked_attempt* attempt : table.running()) {
        if (!givesWay(*attempt, now) || !takesPrecedence(candidate, *attempt, now))
            continue;
        // The long lane keeps its share of the slots.
        if (holdsLongLane(*attempt) && !isLong(candidate.group) && longRunning <= m_slots / slotsPerReserved)
            continue;
        if (!victim || pausedBefore(*attempt, *victim))
            victim = attempt;
    }
    return victim;
}

bool slot_policy::givesWay(const tracked_attempt& attempt, time_point now) const
{
    return attempt.request.preemptible && !isProtected(attempt, now);
}

time_point slot_policy::protectionFor(const tracked_attempt& attempt, const attempt_table& table, time_point now) const
{
    return attempt.overdue && hasRoomForOverdue(table, now) ? now + protection : now;
}

bool slot_policy::isOverdue(const tracked_attempt& attempt, time_point now)
{
    return canBeOverdue(attempt) && attempt.phase != attempt_phase::Running && now >= overdueFrom(attempt);
}

std::optional<time_point> slot_policy::nextChange(const attempt_table& table, time_point now) const
{
    std::optional<time_point> next;
    const auto consider = [&](time_point candidate) {
        if (candidate > now && (!next || candidate < *next))
            next = candidate;
    };
    if (table.idle().empty())
        return next;
    for (const tracked_attempt* attempt : table.idle()) {
        if (canBeOverdue(*attempt))
            consider(overdueFrom(*attempt));
        if (isBatch(*attempt))
            consider(attempt->targetStart);
    }
    for (const tracked_attempt* attempt : table.running()) {
        consider(attempt->protectedUntil);
        // A running attempt gives way to any work once its answer is late.
        if (attempt->request.preemptible)
            consider(justAfter(attempt->request.answerBy));
    }
    if (m_lastShortWork)
        consider(*m_lastShortWork + shortWorkMemory);
    return next;
}

bool slot_policy::mayStart(const tracked_attempt& attempt, const attempt_table& table, time_point now) const
{
    if (!isLong(attempt.group) || attempt.request.preemptible || !keepsSlotsForShortWork(now))
        return true;
    const auto held = std::count_if(table.running().begin(), table.running().end(),
        [](const auto* other) { return isLong(other->group) && !other->request.preemptible; });
    return held < m_slots - reservedSlots(m_slots);
}

bool slot_policy::keepsSlotsForShortWork(time_point now) const
{
    return m_lastShortWork && now - *m_lastShortWork < shortWorkMemory;
}

bool slot_policy::hasRoomForOverdue(const attempt_table& table, time_point now) const
{
    const auto held = std::count_if(table.running().begin(), table.running().end(),
        [now](const auto* attempt) { return isProtected(*attempt, now); });
    return held < std::max(1U, m_slots / slotsPerReserved);
}

}
