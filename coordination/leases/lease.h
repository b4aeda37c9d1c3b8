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

// One daemon's side of a lease that is kept in the table, as holder or candidate. Pure state machine with at most one table
// call open at a time; not safe for use from several threads.
//
// canAct() is true on at most one daemon at any time, without relying on synchronized clocks:
// - A write that acquires or renews the lease is sent at s and committed at c >= s. Its holder acts until
//   s + validity - margin.
// - A candidate that reads the revision of this write gets the answer at r >= c. It takes over at r + validity or
//   later, on condition that the row still has this revision. So s + validity <= r + validity, and the margin covers the
//   difference of the clock rates.
// - A write of unknown outcome has no effect on the holder until a read shows it in the row; it then counts from the moment
//   it was sent. Every write is conditional on the preceding revision, so a delayed one cannot take effect after any other
//   write.
// - Every daemon that becomes the holder raises the fencing number, even the last holder after its own lease has expired.
//   The row is never deleted, so numbers never repeat.
// - If the table loses acknowledged writes and returns to an earlier row, a daemon that has seen a higher number waits until
//   the lease of any later holder has ended, and continues from the highest number that it has seen. A daemon that has not
//   seen the lost row cannot know of it.
// - On a holder that was paused past the end of its lease, canAct() is false. Whatever it had already sent is refused
//   because of its fencing number.
class lease {
public:
    // The incarnation must differ between any two process lifetimes of the daemon.
    lease(std::string key, daemon_id, incarnation, lease_timing);

    // Returns the table call to make now, if any. Call at least every 100 ms, and after each answer.
    std::optional<table_call> tick(time_point now);

    // Processes the answer to the open call. Answers to earlier calls are ignored.
    void onTableResult(const table_answer&, time_point now);

    // Releases the lease if this daemon holds it, and does not acquire it again.
    void release();

    // Whether this daemon holds the lease and may act under it. Check immediately before each action.
    bool canAct(time_point now) const { return !m_isReleasing && now < m_heldUntil; }

    // Snapshot of the lease. A transaction that must not take effect after the lease has passed to another holder must be
    // conditional on the revision of the key.
    lease_view view(time_point now) const { return { canAct(now), m_fencingNumber, m_key, m_revision }; }

private:
    // The call that has not been answered yet.
    struct open_call {
        std::uint64_t id = 0;
        time_point sentAt;
        // Number of the write, or 0 for a read.
        std::uint64_t write = 0;
        lease_row row;
    };

    bool isOwnRow() const;
    // Whether a row with a higher number than the present one, or than none, has been seen.
    bool hasLostRow() const;
    bool canTakeOver(time_point now) const;
    void expireCall(time_point now);
    void applyRow(const lease_row&, row_revision, time_point now);
    void applyRead(const table_answer&, time_point now);
    void markRowUnknown(time_point now);
    time_point nextCallAfter(time_point now) const;
    table_call readCall(time_point now);
    table_call writeCall(lease_row, time_point now);
    std::optional<table_call> releaseCall(time_point now);

    std::string m_key;
    daemon_id m_self;
    incarnation m_lifetime;
    lease_timing m_timing;

    // Whether the row has been read and no write of unknown outcome may have replaced it since.
    bool m_isRowKnown = false;
    row_revision m_revision;
    // Nothing if the row does not exist or cannot be parsed.
    std::optional<lease_row> m_row;
    // When an answer first showed the current revision.
    time_point m_revisionSeenAt;

    bool m_isReleasing = false;
    time_point m_heldUntil = time_point::min();
    fencing_number m_fencingNumber;
    // Highest number in any row seen.
    fencing_number m_highestNumber;

    std::uint64_t m_lastCallId = 0;
    std::uint64_t m_lastWrite = 0;
    std::optional<open_call> m_call;
    time_point m_nextCallAt = time_point::min();
    // When the writes that are conditional on the current revision were sent, by the number of the write.
    std::map<std::uint64_t, time_point> m_writesSentAt;
};

}
