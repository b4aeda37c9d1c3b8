#pragma once

#include "state/time.h"

#include <cstdint>
#include <optional>

namespace sardinelb {

class attempt_table;
struct tracked_attempt;

// Decides which attempt gets the next slot of a runner and which one is preempted. Preemptible long work may use all
// slots and is paused for short work. Long work that cannot be paused leaves some slots to short work. A share of the
// slots goes to overdue long and batch work, so that neither is starved.
class slot_policy {
public:
    explicit slot_policy(std::uint32_t slots);

    // Records the arrival of short work, for which slots are then reserved for a while.
    void onShortArrival(time_point now);

    // Attempt to start in a free slot: overdue work first, then by start order. Null if none may start.
    tracked_attempt* nextForFreeSlot(const attempt_table&, time_point now) const;

    // First attempt in start order that may start, in a free slot or by preemption. Null if none may start.
    tracked_attempt* nextInStartOrder(const attempt_table&, time_point now) const;

    // Running attempt to pause for the candidate. Null if it cannot preempt any.
    tracked_attempt* victimFor(const tracked_attempt& candidate, const attempt_table&, time_point now) const;

    // Whether the running attempt may be paused for work of an earlier group.
    bool canBePreempted(const tracked_attempt&, time_point now) const;

    // Time until which an attempt started now cannot be preempted.
    time_point protectionEnd(const tracked_attempt&, const attempt_table&, time_point now) const;

    // Whether the attempt has been waiting or paused for too long.
    static bool isOverdue(const tracked_attempt&, time_point now);

    // Next time after `now` at which decisions may change without any event.
    std::optional<time_point> nextDecisionTime(const attempt_table&, time_point now) const;

private:
    bool canStart(const tracked_attempt&, const attempt_table&, time_point now) const;
    bool isReservingForShortWork(time_point now) const;
    bool hasSlotForOverdue(const attempt_table&, time_point now) const;

    std::uint32_t m_slots;
    std::optional<time_point> m_lastShortArrival;
};

}
