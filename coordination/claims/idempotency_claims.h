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

// Claims of callers' idempotency keys by one entry. A claim is a row in the platform's table that is inserted on the
// condition that it does not exist, so that of all requests with one key, at whatever entry, one gets it. Claims are
// never taken over: when the entry that holds one dies, later requests with the key are told that it is in progress.
// Only a claim whose request was surely not run may be replaced, on the condition that its row has not changed since.
//
// A write whose answer was lost is resolved by reading the row: the token tells whether the claim is the writer's own.
// A row that is absent then proves nothing, because the lost write may still land; the entry writes again under the same
// condition with the same token, and whichever of the two writes lands first makes the claim its own. When this is not
// resolved in time, the request is refused as not run, and the claim, if it has landed, is recorded as not run.
//
// What is waiting is written in one batch at a time, because the table takes only some hundreds of writes a second. A
// batch whose condition fails has no effect; its rows are then written one by one.
//
// Pure state machine; not safe for use from several threads.
class idempotency_claims {
public:
    // `writer` makes tokens unique; it names the entry and its incarnation.
    explicit idempotency_claims(std::string writer);

    // Asks for the claim of a key for a request. A result follows, by `deadline` at the latest.
    void claim(const request_id&, const team_id&, const std::string& key, const std::string& requestDigest,
        time_point deadline);

    // Records how a request with a claim ended. It is tried again until it is stored or `recordTimeout` has passed.
    void onRequestEnded(const request_id&, execution_outcome, int httpStatus, time_point now);

    // Answers of the store. Errors as in table_service.
    void onTransactionResult(std::uint64_t number, const state_result<row_revision>&, time_point now);
    void onRowRead(std::uint64_t number, const state_result<std::optional<table_row>>&, time_point now);

    // Sends batches and gives up what is late. Call it at least every 10 ms.
    void tick(time_point now);

    // What has to be done and what was decided since the last call.
    std::vector<claim_transaction> takeTransactions();
    std::vector<claim_read> takeReads();
    std::vector<claim_result> takeResults();
    // Requests whose outcome has been recorded.
    std::vector<request_id> takeRecorded();

    // Claims and records that are not settled yet.
    std::size_t pendingCount() const;

private:
    enum class claim_stage {
        // Waits to be part of a transaction.
        Ready,
        // Part of a transaction without an answer.
        Writing,
        // The row is being read.
        Reading,
        // The claim is held; the request runs.
        Held,
    };

    // One key of one request.
    struct tracked_claim {
        request_id request;
        std::string rowKey;
        claim_record record;
        claim_stage stage = claim_stage::Ready;
        // Condition of the next write: 0 when the row must not exist.
        row_revision expected;
        time_point deadline;
        // When a Ready entry may be written next.
        time_point notBefore {};
        bool hasResult = false;
        // Set when the claim is held and the outcome is to be recorded.
        bool recordsOutcome = false;
        // Written in a transaction of its own, after a batch with it failed.
        bool needsOwnTransaction = false;
        // Whether the write without an answer holds the outcome.
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
    // Number of the batch without an answer; 0 when there is none.
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
