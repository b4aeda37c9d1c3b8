#include "coordination/queueing/slot_policy.h"

#include "coordination/agent/attempt_order.h"
#include "coordination/agent/attempt_table.h"
#include "coordination/queueing/team_share.h"

#include <algorithm>
#include <chrono>

namespace sardinelb {

namespace {

using namespace std::chrono_literals;

// One slot in this many is reserved for short work that cannot preempt long work, and one in this many for long work.
// With one in 4, the 99th percentile latency of short requests during demand swings was a third higher (head-of-line
// bench).
constexpr std::uint32_t slotsPerReservedSlot = 8;
// Time waiting or paused after which work gets precedence. Long work is promised an answer within tens of seconds,
// batch work within minutes.
constexpr duration maxLongWait = 5s;
constexpr duration maxBatchWait = 30s;
// Time for which started overdue work cannot be preempted: many times the repeated prefill of a resumed attempt.
constexpr duration protectionTime = 2s;
// A paused attempt becomes overdue this long before the last time at which resuming it is still useful.
constexpr duration resumeMargin = 2s;
// Slots stay reserved for this long after the last arrival of short work.
constexpr duration shortWorkReservationTime = 10s;

duration maxWaitFor(const tracked_attempt& attempt)
{
    return isBatch(attempt) ? maxBatchWait : maxLongWait;
}

bool canBeOverdue(const tracked_attempt& attempt)
{
    return attempt.group != attempt_group::Short && !attempt.late;
}

time_point overdueAt(const tracked_attempt& attempt)
{
    const time_point waitLimit = attempt.idleSince + maxWaitFor(attempt);
    // The progress of a paused attempt is lost unless it is resumed in time.
    return attempt.phase == attempt_phase::Paused ? std::min(waitLimit, attempt.lastResume - resumeMargin)
                                                  : waitLimit;
}

bool isProtected(const tracked_attempt& attempt, time_point now) { return attempt.protectedUntil > now; }

// Late work preempts nothing; otherwise two attempts could pause each other in turn.
bool canPreempt(const tracked_attempt& candidate, const tracked_attempt& running, time_point now)
{
    if (candidate.late || running.late)
        return !candidate.late;
    if (candidate.group >= running.group)
        return false;
    // A running attempt with less work left than the candidate frees its slot soon, so it may finish.
    if (remainingTokens(running) < remainingTokens(candidate))
        return false;
    if (candidate.team->slots == 0 && !isAboveShare(candidate))
        return true;
    // The progress of the running attempt is lost if it cannot be resumed in time after the candidate. Only a team that
    // is within its share and has nothing else running may cause that.
    const duration candidateTime = candidate.request.answerBy - candidate.lastResume;
    return now + candidateTime <= running.lastResume;
}

bool countsForLongLane(const tracked_attempt& attempt) { return isLong(attempt.group) && !attempt.late; }

std::uint32_t reservedSlots(std::uint32_t slots) { return slots < 2 ? 0 : std::max(1U, slots / slotsPerReservedSlot); }

tracked_attempt* longerIdle(tracked_attempt* a, tracked_attempt* b)
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

void slot_policy::onShortArrival(time_point now) { m_lastShortArrival = now; }

tracked_attempt* slot_policy::nextForFreeSlot(const attempt_table& table, time_point now) const
{
    tracked_attempt* overdue = nullptr;
    if (hasSlotForOverdue(table, now)) {
        for (tracked_attempt* attempt : table.idle()) {
            if (attempt->overdue && canStart(*attempt, table, now))
                overdue = longerIdle(overdue, attempt);
        }
    }
    return overdue ? overdue : nextInStartOrder(table, now);
}

tracked_attempt* slot_policy::nextInStartOrder(const attempt_table& table, time_point now) const
{
    tracked_attempt* next = nullptr;
    for (tracked_attempt* attempt : table.idle()) {
        if (next && !startsBefore(*attempt, *next))
            continue;
        if (canStart(*attempt, table, now))
            next = attempt;
    }
    return next;
}

tracked_attempt* slot_policy::victimFor(
    const tracked_attempt& candidate, const attempt_table& table, time_point now) const
{
    const auto longRunning = std::count_if(table.running().begin(), table.running().end(),
        [](const auto* attempt) { return countsForLongLane(*attempt); });
    tracked_attempt* victim = nullptr;
    for (tracked_attempt* attempt : table.running()) {
        if (!canBePreempted(*attempt, now) || !canPreempt(candidate, *attempt, now))
            continue;
        // Long work keeps its reserved slots.
        if (countsForLongLane(*attempt) && !isLong(candidate.group) && longRunning <= m_slots / slotsPerReservedSlot)
            continue;
        if (!victim || pausedBefore(*attempt, *victim))
            victim = attempt;
    }
    return victim;
}

bool slot_policy::canBePreempted(const tracked_attempt& attempt, time_point now) const
{
    return attempt.request.preemptible && !isProtected(attempt, now);
}

time_point slot_policy::protectionEnd(const tracked_attempt& attempt, const attempt_table& table, time_point now) const
{
    return attempt.overdue && hasSlotForOverdue(table, now) ? now + protectionTime : now;
}

bool slot_policy::isOverdue(const tracked_attempt& attempt, time_point now)
{
    return canBeOverdue(attempt) && attempt.phase != attempt_phase::Running && now >= overdueAt(attempt);
}

std::optional<time_point> slot_policy::nextDecisionTime(const attempt_table& table, time_point now) const
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
            consider(overdueAt(*attempt));
        if (isBatch(*attempt))
            consider(attempt->targetStart);
    }
    for (const tracked_attempt* attempt : table.running()) {
        consider(attempt->protectedUntil);
        // Any work may preempt a running attempt once its answer is late.
        if (attempt->request.preemptible)
            consider(justAfter(attempt->request.answerBy));
    }
    if (m_lastShortArrival)
        consider(*m_lastShortArrival + shortWorkReservationTime);
    return next;
}

bool slot_policy::canStart(const tracked_attempt& attempt, const attempt_table& table, time_point now) const
{
    if (!isLong(attempt.group) || attempt.request.preemptible || !isReservingForShortWork(now))
        return true;
    const auto held = std::count_if(table.running().begin(), table.running().end(),
        [](const auto* other) { return isLong(other->group) && !other->request.preemptible; });
    return held < m_slots - reservedSlots(m_slots);
}

bool slot_policy::isReservingForShortWork(time_point now) const
{
    return m_lastShortArrival && now - *m_lastShortArrival < shortWorkReservationTime;
}

bool slot_policy::hasSlotForOverdue(const attempt_table& table, time_point now) const
{
    const auto held = std::count_if(table.running().begin(), table.running().end(),
        [now](const auto* attempt) { return isProtected(*attempt, now); });
    return held < std::max(1U, m_slots / slotsPerReservedSlot);
}

}
