#include "coordination/leases/lease.h"

#include <algorithm>
#include <utility>

namespace sardinelb {

namespace {

// Bounds the memory when many consecutive writes have an unknown outcome. A write that is no longer tracked gives no lease.
constexpr std::size_t maxTrackedWrites = 64;

}

lease::lease(std::string key, daemon_id self, incarnation lifetime, lease_timing timing)
    : m_key(std::move(key))
    , m_self(std::move(self))
    , m_lifetime(lifetime)
    , m_timing(timing)
{
}

bool lease::isOwnRow() const { return m_row && m_row->holder == m_self && m_row->lifetime == m_lifetime; }

bool lease::hasLostRow() const
{
    const fencing_number found = m_row ? m_row->number : fencing_number();
    return found < m_highestNumber;
}

bool lease::canTakeOver(time_point now) const
{
    // A row that cannot be parsed is never replaced, because the next fencing number is unknown.
    if (m_revision != row_revision() && !m_row)
        return false;
    const bool isFree = !m_row || isOwnRow() || m_row->holder == daemon_id();
    // After a lost row, a later holder may still act.
    if (isFree && !hasLostRow())
        return true;
    return now - m_revisionSeenAt >= (m_row ? m_row->validity : m_timing.validity);
}

table_call lease::readCall(time_point now)
{
    m_call = open_call { ++m_lastCallId, now, 0, {} };
    // '!' sorts before every character that can follow this key in longer keys.
    return { m_lastCallId, table_read { m_key, m_key + "!", 1 } };
}

table_call lease::writeCall(lease_row row, time_point now)
{
    row.write = ++m_lastWrite;
    m_writesSentAt[row.write] = now;
    if (m_writesSentAt.size() > maxTrackedWrites)
        m_writesSentAt.erase(m_writesSentAt.begin());
    m_call = open_call { ++m_lastCallId, now, row.write, row };
    table_transaction transaction;
    transaction.conditions.push_back({ m_key, m_revision });
    transaction.puts.emplace_back(m_key, toText(row));
    return { m_lastCallId, transaction };
}

void lease::markRowUnknown(time_point now)
{
    m_isRowKnown = false;
    m_nextCallAt = now;
}

void lease::expireCall(time_point now)
{
    if (!m_call || now - m_call->sentAt < m_timing.answerTimeout)
        return;
    m_call.reset();
    markRowUnknown(now);
}

void lease::release() { m_isReleasing = true; }

std::optional<table_call> lease::releaseCall(time_point now)
{
    if (!isOwnRow())
        return std::nullopt;
    lease_row row = *m_row;
    row.holder = daemon_id();
    row.number = m_highestNumber;
    return writeCall(row, now);
}

std::optional<table_call> lease::tick(time_point now)
{
    expireCall(now);
    if (m_call || now < m_nextCallAt)
        return std::nullopt;
    if (!m_isRowKnown)
        return readCall(now);
    if (m_isReleasing)
        return releaseCall(now);
    if (canAct(now) && isOwnRow())
        return writeCall(*m_row, now);
    if (!canTakeOver(now))
        return readCall(now);
    return writeCall({ m_self, m_lifetime, fencing_number(m_highestNumber.value() + 1), 0, m_timing.validity }, now);
}

void lease::applyRow(const lease_row& row, row_revision revision, time_point now)
{
    const auto sent = m_writesSentAt.find(row.write);
    const bool isNew = revision != m_revision;
    m_revision = revision;
    m_row = row;
    m_highestNumber = std::max(m_highestNumber, row.number);
    if (isNew)
        m_revisionSeenAt = now;
    if (!isOwnRow() || hasLostRow()) {
        m_heldUntil = time_point::min();
    } else if (sent != m_writesSentAt.end()) {
        m_fencingNumber = row.number;
        m_heldUntil = sent->second + row.validity - m_timing.safetyMargin;
    }
    if (isNew)
        m_writesSentAt.clear();
}

void lease::applyRead(const table_answer& answer, time_point now)
{
    m_isRowKnown = true;
    if (answer.rows.empty()) {
        if (m_revision != row_revision())
            m_revisionSeenAt = now;
        m_revision = row_revision();
        m_row.reset();
        m_heldUntil = time_point::min();
        return;
    }
    const table_row& found = answer.rows.front();
    const std::optional<lease_row> row = parseLeaseRow(found.value);
    if (row) {
        applyRow(*row, found.revision, now);
        return;
    }
    m_revision = found.revision;
    m_row.reset();
    m_heldUntil = time_point::min();
}

time_point lease::nextCallAfter(time_point now) const
{
    if (canAct(now)) {
        const time_point heldSince = m_heldUntil + m_timing.safetyMargin - m_row->validity;
        return std::max(now, heldSince + m_timing.renewPeriod);
    }
    return canTakeOver(now) ? now : now + m_timing.readPeriod;
}

void lease::onTableResult(const table_answer& answer, time_point now)
{
    if (!m_call || answer.call != m_call->id)
        return;
    const open_call call = *m_call;
    m_call.reset();
    if (answer.outcome == table_outcome::Unavailable) {
        m_writesSentAt.erase(call.write);
        m_nextCallAt = now + m_timing.readPeriod;
        return;
    }
    if (answer.outcome != table_outcome::Done) {
        markRowUnknown(now);
        return;
    }
    if (call.write == 0)
        applyRead(answer, now);
    else
        applyRow(call.row, answer.revision, now);
    m_nextCallAt = nextCallAfter(now);
}

}
