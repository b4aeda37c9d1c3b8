#pragma once

#include "state/time.h"

#include <cstdint>
#include <optional>

namespace sardinelb {

class attempt_table;
struct tracked_attempt;

// Decides which attempt gets the next slot of a runner and which one gives up its slot. Long work that the runner can
// pause may use every slot and gives way to short work. Long work that cannot be paused leaves some slots to short
// work. A share of the slots goes to long work and to batch work that has waited long, so that neither is starved.
class slot_policy {
public:
    explicit slot_policy(std::uint32_t slots);

    // Notes that short work has arrived; slots are kept free for more of it for a while.
    void shortWorkArrived(time_point now);

    // Attempt to start in a free slot. Null when none may start.
    tracked_attempt* nextForFreeSlot(const attempt_table&, time_point now) const;

    // Attempt that may take the slot of another one, if there is one to give way. Null when none may start.
    tracked_attempt* nextForTakenSlot(const attempt_table&, time_point now) const;

    // Running attempt to pause for the candidate. Null when none gives way.
    tracked_attempt* victimFor(const tracked_attempt& candidate, const attempt_table&, time_point now) const;

    // Whether the running attempt would give way to work of an earlier group.
    bool givesWay(const tracked_attempt&, time_point now) const;

    // Time for which an attempt started now is not to be paused.
    time_point protectionFor(const tracked_attempt&, const attempt_table&, time_point now) const;

    // Whether the attempt has waited, or been paused, for longer than it should.
    static bool isOverdue(const tracked_attempt&, time_point now);

    // Next time after `now` at which a decision may change by the passing of time alone.
    std::optional<time_point> nextChange(const attempt_table&, time_point now) const;

private:
    bool mayStart(const tracked_attempt&, const attempt_table&, time_point now) const;
    bool keepsSlotsForShortWork(time_point now) const;
    bool hasRoomForOverdue(const attempt_table&, time_point now) const;

    std::uint32_t m_slots;
    std::optional<time_point> m_lastShortWork;
};

}
