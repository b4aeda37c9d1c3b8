#pragma once

#include "coordination/agent/attempt_record.h"
#include "coordination/attempt_id.h"
#include "state/time.h"

#include <cstddef>
#include <functional>
#include <map>
#include <unordered_map>
#include <unordered_set>

namespace sardinelb {

// All attempts that an agent has seen and not yet forgotten. It is what makes an attempt run at most once: an attempt
// with a record is never accepted again, and a tombstone stops an attempt whose submit arrives after its cancel.
class attempt_ledger {
public:
    // Returns the record, or nullptr when the attempt is not known.
    attempt_record* find(const attempt_id&);

    // Adds a record for an attempt that is not known yet.
    attempt_record& insert(const attempt_id&, attempt_record);

    // Records that the attempt was never dispatched and never will be.
    void addTombstone(const attempt_id&, time_point now);

    // Keeps the ended attempt for queries: for the retention time, and a call that may not run twice until that time
    // after its answer is due.
    void retire(attempt_record&, time_point now);

    // Forgets what has passed its retention time.
    void expire(time_point now);

    // Visits the attempts that have not ended. The visit may end attempts.
    void forEachActive(const std::function<void(const attempt_id&, attempt_record&)>&);

    // Number of attempts that have not ended.
    std::size_t active() const;

private:
    void scheduleExpiry(attempt_record&, const attempt_id&, time_point forgetAt);

    std::unordered_map<attempt_id, attempt_record> m_records;
    std::unordered_set<attempt_id> m_active;
    // Attempts that have ended, by the time at which they may be forgotten.
    std::multimap<time_point, attempt_id> m_expiry;
};

}
