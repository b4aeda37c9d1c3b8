#include "coordination/claims/idempotency_claims.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

namespace sardinelb {

namespace {

constexpr std::size_t maxBatch = 32;
constexpr duration retryDelay = std::chrono::milliseconds(50);
// How long recording the outcome of a request is retried while the table is unavailable.
constexpr duration recordTimeout = std::chrono::seconds(60);

}

std::string claimRowKey(const team_id& team, const std::string& key)
{
    return "claim/" + team.value() + "/" + key;
}

idempotency_claims::idempotency_claims(std::string writer)
    : m_writer(std::move(writer))
{
}

void idempotency_claims::claim(const request_id& request, const team_id& team, const std::string& key,
    const std::string& requestDigest, time_point deadline)
{
    tracked_claim claimed;
    claimed.request = request;
    claimed.rowKey = claimRowKey(team, key);
    claimed.record.token = m_writer + "/" + std::to_string(++m_lastToken);
    claimed.record.requestDigest = requestDigest;
    claimed.deadline = deadline;
    m_claims.insert_or_assign(request, std::move(claimed));
}

void idempotency_claims::onRequestEnded(
    const request_id& request, execution_outcome outcome, int httpStatus, time_point now)
{
    const auto found = m_claims.find(request);
    if (found == m_claims.end() || found->second.stage != claim_stage::Held)
        return;
    tracked_claim& held = found->second;
    held.record.outcome = outcome;
    held.record.httpStatus = httpStatus;
    held.recordsOutcome = true;
    held.stage = claim_stage::Ready;
    held.notBefore = now;
    held.deadline = now + recordTimeout;
}

void idempotency_claims::tick(time_point now)
{
    std::vector<tracked_claim*> batch;
    std::set<std::string> keys;
    std::vector<request_id> late;
    for (auto& [request, claimed] : m_claims) {
        if (claimed.stage != claim_stage::Held && now >= claimed.deadline)
            late.push_back(request);
        if (claimed.stage != claim_stage::Ready || now < claimed.notBefore || now >= claimed.deadline)
            continue;
        if (claimed.needsOwnTransaction) {
            send({ &claimed });
            continue;
        }
        // Two claims of one key must not share a transaction, or neither would conflict with the other.
        if (batch.size() < maxBatch && keys.insert(claimed.rowKey).second)
            batch.push_back(&claimed);
    }
    if (!batch.empty() && m_batch == 0) {
        send(batch);
        m_batch = m_lastNumber;
    }
    for (const request_id& request : late)
        onDeadline(m_claims.at(request), now);
}

void idempotency_claims::send(const std::vector<tracked_claim*>& batch)
{
    claim_transaction outgoing;
    outgoing.number = ++m_lastNumber;
    std::vector<request_id>& members = m_transactions[outgoing.number];
    for (tracked_claim* claimed : batch) {
        outgoing.transaction.conditions.push_back({ claimed->rowKey, claimed->expected });
        outgoing.transaction.puts.emplace_back(claimed->rowKey, toText(claimed->record));
        claimed->stage = claim_stage::Writing;
        claimed->writeHasOutcome = claimed->recordsOutcome;
        members.push_back(claimed->request);
    }
    m_outgoing.push_back(std::move(outgoing));
}

void idempotency_claims::read(tracked_claim& claimed)
{
    claimed.stage = claim_stage::Reading;
    const std::uint64_t number = ++m_lastNumber;
    m_reads[number] = claimed.request;
    m_outgoingReads.push_back({ number, claimed.rowKey });
}

void idempotency_claims::onTransactionResult(
    std::uint64_t number, const state_result<row_revision>& result, time_point now)
{
    const auto found = m_transactions.find(number);
    if (found == m_transactions.end())
        return;
    if (number == m_batch)
        m_batch = 0;
    const std::vector<request_id> members = std::move(found->second);
    m_transactions.erase(found);
    for (const request_id& request : members) {
        const auto member = m_claims.find(request);
        if (member == m_claims.end() || member->second.stage != claim_stage::Writing)
            continue;
        if (result)
            onWritten(member->second, result.value());
        else
            onWriteFailed(member->second, result.error(), now);
    }
}

void idempotency_claims::onWritten(tracked_claim& claimed, row_revision revision)
{
    if (claimed.writeHasOutcome) {
        m_recorded.push_back(claimed.request);
        m_claims.erase(claimed.request);
        return;
    }
    claimed.expected = revision;
    if (claimed.recordsOutcome)
        claimed.stage = claim_stage::Ready;
    else
        resolve(claimed, claim_verdict::Claimed, {});
}

void idempotency_claims::onWriteFailed(tracked_claim& claimed, const state_error& error, time_point now)
{
    if (error.code == state_errc::Unavailable) {
        retryLater(claimed, now);
        return;
    }
    if (error.code == state_errc::Conflict && !claimed.needsOwnTransaction) {
        // The batch had no effect, possibly because of another row in it.
        claimed.needsOwnTransaction = true;
        claimed.stage = claim_stage::Ready;
        return;
    }
    // After a conflict on its own row or an unknown outcome, the row shows who holds the claim.
    claimed.needsOwnTransaction = true;
    read(claimed);
}

void idempotency_claims::onRowRead(
    std::uint64_t number, const state_result<std::optional<table_row>>& result, time_point now)
{
    const auto found = m_reads.find(number);
    if (found == m_reads.end())
        return;
    const request_id request = found->second;
    m_reads.erase(found);
    const auto member = m_claims.find(request);
    if (member == m_claims.end() || member->second.stage != claim_stage::Reading)
        return;
    tracked_claim& claimed = member->second;
    if (!result)
        retryLater(claimed, now);
    else if (result.value())
        resolveFromRow(claimed, *result.value(), now);
    else {
        // The lost write may still take effect and leave a claim that nobody ends, so the claim is written again.
        claimed.expected = row_revision();
        retryLater(claimed, now);
    }
}

// Resolves the claim by the row that was read.
void idempotency_claims::resolveFromRow(tracked_claim& claimed, const table_row& row, time_point now)
{
    const auto found = claimFromText(row.value);
    if (!found) {
        // A malformed row is not overwritten, and no request may run under its key.
        resolve(claimed, claim_verdict::StoreUnavailable, {});
        return;
    }
    if (found->token == claimed.record.token) {
        claimed.expected = row.revision;
        if (!claimed.recordsOutcome)
            resolve(claimed, claim_verdict::Claimed, {});
        else if (found->outcome) {
            m_recorded.push_back(claimed.request);
            m_claims.erase(claimed.request);
        } else
            retryLater(claimed, now);
        return;
    }
    if (claimed.recordsOutcome) {
        m_claims.erase(claimed.request);
        return;
    }
    if (found->outcome == execution_outcome::NotRun) {
        claimed.expected = row.revision;
        claimed.stage = claim_stage::Ready;
        return;
    }
    if (found->requestDigest != claimed.record.requestDigest)
        resolve(claimed, claim_verdict::OtherRequest, *found);
    else
        resolve(claimed, found->outcome ? claim_verdict::Ended : claim_verdict::InProgress, *found);
}

void idempotency_claims::resolve(tracked_claim& claimed, claim_verdict verdict, const claim_record& earlier)
{
    const request_id request = claimed.request;
    const bool hadResult = claimed.hasResult;
    claimed.hasResult = true;
    if (verdict == claim_verdict::Claimed && !hadResult) {
        claimed.stage = claim_stage::Held;
        m_results.push_back({ request, verdict, earlier });
        return;
    }
    if (!hadResult)
        m_results.push_back({ request, verdict, earlier });
    m_claims.erase(request);
}

// Refuses a claim that could not be recorded in time. Its write may still take effect, so the entry continues until it
// knows that the row belongs to another request, or has recorded in it that the request was not run.
void idempotency_claims::onDeadline(tracked_claim& claimed, time_point now)
{
    if (claimed.recordsOutcome || claimed.hasResult) {
        m_claims.erase(claimed.request);
        return;
    }
    claimed.hasResult = true;
    m_results.push_back({ claimed.request, claim_verdict::StoreUnavailable, {} });
    claimed.record.outcome = execution_outcome::NotRun;
    claimed.recordsOutcome = true;
    claimed.needsOwnTransaction = true;
    claimed.deadline = now + recordTimeout;
    if (claimed.stage != claim_stage::Writing)
        read(claimed);
}

void idempotency_claims::retryLater(tracked_claim& claimed, time_point now)
{
    claimed.stage = claim_stage::Ready;
    claimed.notBefore = now + retryDelay;
}

std::vector<claim_transaction> idempotency_claims::takeTransactions()
{
    return std::exchange(m_outgoing, {});
}

std::vector<claim_read> idempotency_claims::takeReads()
{
    return std::exchange(m_outgoingReads, {});
}

std::vector<claim_result> idempotency_claims::takeResults()
{
    return std::exchange(m_results, {});
}

std::vector<request_id> idempotency_claims::takeRecorded()
{
    return std::exchange(m_recorded, {});
}

std::size_t idempotency_claims::pendingCount() const
{
    return static_cast<std::size_t>(std::count_if(
        m_claims.begin(), m_claims.end(), [](const auto& item) { return item.second.stage != claim_stage::Held; }));
}

}
