#pragma once

#include "coordination/claims/claim_read.h"
#include "coordination/claims/claim_result.h"
#include "coordination/claims/claim_transaction.h"
#include "coordination/execution_outcome.h"
#include "state/ids.h"
#include "state/state_error.h"
#include "state/table_row.h"
#include "state/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace sardinelb {

// Claims of callers' idempotency keys by one entry. A claim is a row in the platform's table, inserted on the condition
// that the row does not exist, so only one of all requests with a key, at any entry, obtains the claim. Claims are
// never taken over: after the entry that holds a claim dies, later requests with the key are told that it is in
// progress. Only the claim of a request that is known not to have run may be replaced, on the condition that its row is
// unchanged.
//
// A write whose answer was lost is resolved by reading the row: the token shows whether the claim belongs to the
// writer. An absent row is inconclusive, because the lost write may still take effect. The entry then writes again
// under the same condition and with the same token, so that either of the two writes establishes its claim. If this is
// not resolved in time, the request is refused as not run, and a claim that has taken effect is recorded as not run.
//
// Pending rows are written in batches, one batch at a time, because the table supports only some hundreds of writes per
// second. A batch whose condition fails has no effect; its rows are then written one by one.
//
// Pure state machine; not safe for use from several threads.
class idempotency_claims {
public:
    // `writer` makes tokens unique; it names the entry and its incarnation.
    explicit idempotency_claims(std::string writer);

    // Starts the claim of a key for a request. The result follows by `deadline` at the latest.
    void claim(const request_id&, const team_id&, const std::string& key, const std::string& requestDigest,
        time_point deadline);

    // Records the outcome of a request that holds a claim. The write is retried until it succeeds or `recordTimeout`
    // expires.
    void onRequestEnded(const request_id&, execution_outcome, int httpStatus, time_point now);

    // Results of the requested transactions and reads. Errors as in table_service.
    void onTransactionResult(std::uint64_t number, const state_result<row_revision>&, time_point now);
    void onRowRead(std::uint64_t number, const state_result<std::optional<table_row>>&, time_point now);

    // Sends batches and handles deadlines. Must be called at least every 10 ms.
    void tick(time_point now);

    // Requested operations and results since the last call.
    std::vector<claim_transaction> takeTransactions();
    std::vector<claim_read> takeReads();
    std::vector<claim_result> takeResults();
    // Requests whose outcome has been recorded.
    std::vector<request_id> takeRecorded();

    // Number of claims without a result and outcomes not recorded yet.
    std::size_t pendingCount() const;

private:
    enum class claim_stage {
        // Waiting for a transaction.
        Ready,
        // Part of a transaction whose result is pending.
        Writing,
        // The row is being read.
        Reading,
        // The claim is held; the request runs.
        Held,
    };

    // The claim of a key by one request.
    struct tracked_claim {
        request_id request;
        std::string rowKey;
        claim_record record;
        claim_stage stage = claim_stage::Ready;
        // Condition of the next write: 0 when the row must not exist.
        row_revision expected;
        time_point deadline;
        // Earliest time of the next write of a Ready claim.
        time_point notBefore {};
        bool hasResult = false;
        // Whether the next write is to record the outcome.
        bool recordsOutcome = false;
        // Set after a batch that contained the claim has failed.
        bool needsOwnTransaction = false;
        // Whether the pending write contains the outcome.
        bool writeHasOutcome = false;
    };

    using claim_map = std::unordered_map<request_id, tracked_claim>;

    void send(const std::vector<tracked_claim*>&);
    void read(tracked_claim&);
    void onWriteFailed(tracked_claim&, const state_error&, time_point now);
    void onWritten(tracked_claim&, row_revision);
    void resolveFromRow(tracked_claim&, const table_row&, time_point now);
    void resolve(tracked_claim&, claim_verdict, const claim_record& earlier);
    void onDeadline(tracked_claim&, time_point now);
    void retryLater(tracked_claim&, time_point now);

    std::string m_writer;
    std::uint64_t m_lastNumber = 0;
    std::uint64_t m_lastToken = 0;
    // Number of the pending batch; 0 when there is none.
    std::uint64_t m_batch = 0;
    claim_map m_claims;
    std::map<std::uint64_t, std::vector<request_id>> m_transactions;
    std::map<std::uint64_t, request_id> m_reads;
    std::vector<claim_transaction> m_outgoing;
    std::vector<claim_read> m_outgoingReads;
    std::vector<claim_result> m_results;
    std::vector<request_id> m_recorded;
};

// Key of the table row of a claim.
std::string claimRowKey(const team_id&, const std::string& key);

}
