#include "coordination/agent/attempt_ledger.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace sardinelb {

namespace {

// Longer than an entry waits for an agent to reconnect, so that a query always finds the result.
constexpr duration retention = std::chrono::seconds(60);

}

attempt_record* attempt_ledger::find(const attempt_id& attempt)
{
    const auto found = m_records.find(attempt);
    return found == m_records.end() ? nullptr : &found->second;
}

attempt_record& attempt_ledger::insert(const attempt_id& attempt, attempt_record record)
{
    m_active.insert(attempt);
    return m_records.insert_or_assign(attempt, std::move(record)).first->second;
}

void attempt_ledger::addTombstone(const attempt_id& attempt, time_point now)
{
    attempt_record& record = m_records[attempt];
    record = {};
    record.submit.attempt = attempt;
    record.stage = attempt_stage::Tombstone;
    scheduleExpiry(record, attempt, now + retention);
}

void attempt_ledger::retire(attempt_record& record, time_point now)
{
    record.stage = attempt_stage::Finished;
    // An entry that was paused may query a call that must not run twice until its answer is due. If the record were
    // removed before, the agent would report that the call never ran.
    const time_point lastQuery = record.submit.idempotent ? now : std::max(now, record.answerBy);
    // A query needs only the result, not the request.
    record.submit.body.clear();
    scheduleExpiry(record, record.submit.attempt, lastQuery + retention);
}

void attempt_ledger::scheduleExpiry(attempt_record& record, const attempt_id& attempt, time_point forgetAt)
{
    m_active.erase(attempt);
    record.forgetAt = forgetAt;
    m_expiry.emplace(forgetAt, attempt);
}

void attempt_ledger::expire(time_point now)
{
    while (!m_expiry.empty() && m_expiry.begin()->first <= now) {
        const auto found = m_records.find(m_expiry.begin()->second);
        // The expiry of a renewed tombstone has a later entry in m_expiry.
        if (found != m_records.end() && found->second.forgetAt <= now)
            m_records.erase(found);
        m_expiry.erase(m_expiry.begin());
    }
}

void attempt_ledger::forEachActive(const std::function<void(const attempt_id&, attempt_record&)>& visit)
{
    const std::vector<attempt_id> active(m_active.begin(), m_active.end());
    for (const attempt_id& attempt : active) {
        if (attempt_record* record = find(attempt))
            visit(attempt, *record);
    }
}

std::size_t attempt_ledger::active() const
{
    return m_active.size();
}

}
