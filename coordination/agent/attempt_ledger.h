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

// Records of all attempts that an agent has seen, until they expire. They ensure that an attempt runs at most once: an
// attempt with a record is never accepted again, and a tombstone rejects an attempt whose submit arrives after its
// cancel.
class attempt_ledger {
public:
    // Returns the record, or nullptr when the attempt is unknown.
    attempt_record* find(const attempt_id&);

    // Adds a record for an unknown attempt.
    attempt_record& insert(const attempt_id&, attempt_record);

    // Records that the attempt has not been dispatched and never will be.
    void addTombstone(const attempt_id&, time_point now);

    // Keeps an ended attempt for queries for the retention time. For a call that may not run twice, this time starts
    // when the answer is due, or at the end of the attempt if that is later.
    void retire(attempt_record&, time_point now);

    // Removes records whose retention time has passed.
    void expire(time_point now);

    // Visits the attempts that have not ended. The visitor may end attempts.
    void forEachActive(const std::function<void(const attempt_id&, attempt_record&)>&);

    // Number of attempts that have not ended.
    std::size_t active() const;

private:
    void scheduleExpiry(attempt_record&, const attempt_id&, time_point forgetAt);

    std::unordered_map<attempt_id, attempt_record> m_records;
    std::unordered_set<attempt_id> m_active;
    // Attempts that have ended, by the time at which their records may be removed.
    std::multimap<time_point, attempt_id> m_expiry;
};

}
