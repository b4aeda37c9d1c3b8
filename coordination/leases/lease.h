#pragma once

#include "coordination/leases/lease_row.h"
#include "coordination/leases/lease_timing.h"
#include "coordination/leases/lease_view.h"
#include "coordination/table_answer.h"
#include "coordination/table_call.h"
#include "state/ids.h"
#include "state/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace sardinelb {

// One daemon's side of a lease in the table: holder or candidate. Pure state machine with one table call open at a
// time; not safe for use from several threads.
//
// At most one daemon has mayAct() at any time, without trust in the clock of another machine:
// - A write that gives the lease is sent at s and committed at c >= s. Its holder acts before s + validity - margin.
// - A candidate that reads the revision of this write gets the answer at r >= c. It takes over at r + validity or
//   later, on the condition that the row still has this revision. So s + validity <= r + validity, and the margin
//   covers the difference of the clock rates.
// - A write whose outcome is unknown gives nothing until a read shows it in the row; it then counts from the moment it
//   was sent. Every write is conditional on the revision that preceded it, so that a delayed one cannot take effect
//   after any other write.
// - Every daemon that becomes holder raises the fencing number, also the last holder after its own lease has lapsed.
//   The row is never deleted, so that numbers never repeat.
// - A holder that was paused has no mayAct() when it continues after the end of its lease. Whatever it had already
//   sent is refused by its fencing number.
class lease {
public:
    // The incarnation must differ between any two lifetimes of the daemon.
    lease(std::string key, daemon_id, incarnation, lease_timing);

    // The table call to make now, if any. Call at least every 100 ms, and after each answer.
    std::optional<table_call> tick(time_point now);

    // Takes the answer to a call. Answers to earlier calls are ignored.
    void answered(const table_answer&, time_point now);

    // Gives the lease up when called as its holder. It is not acquired again.
    void release();

    // Whether this daemon holds the lease. Ask immediately before each action.
    bool mayAct(time_point now) const { return !m_isReleasing && now < m_heldUntil; }

    // The lease at this moment. A transaction that must not take effect after the lease has changed hands has the
    // revision as a condition on the key.
    lease_view view(time_point now) const { return { mayAct(now), m_number, m_key, m_revision }; }

private:
    // The call that awaits its answer.
    struct open_call {
        std::uint64_t id = 0;
        time_point sentAt;
        // Number of the write, or 0 for a read.
        std::uint64_t write = 0;
        lease_row row;
    };

    bool isOwnRow() const;
    bool mayTakeOver(time_point now) const;
    void expireCall(time_point now);
    void noteRow(const lease_row&, row_revision, time_point now);
    void noteRead(const table_answer&, time_point now);
    void giveUnknown(time_point now);
    time_point nextCallAfter(time_point now) const;
    table_call readCall(time_point now);
    table_call writeCall(lease_row, time_point now);
    std::optional<table_call> releaseCall(time_point now);

    std::string m_key;
    daemon_id m_self;
    incarnation m_lifetime;
    lease_timing m_timing;

    // Whether the row was read and no write of unknown outcome may have replaced it since.
    bool m_isKnown = false;
    row_revision m_revision;
    // Nothing when the row does not exist or cannot be parsed.
    std::optional<lease_row> m_row;
    // When an answer showed the present revision first.
    time_point m_seenAt;

    bool m_isReleasing = false;
    time_point m_heldUntil = time_point::min();
    fencing_number m_number;

    std::uint64_t m_lastCall = 0;
    std::uint64_t m_lastWrite = 0;
    std::optional<open_call> m_call;
    time_point m_nextCall = time_point::min();
    // When the writes that are conditional on the present revision were sent.
    std::map<std::uint64_t, time_point> m_sent;
};

}
