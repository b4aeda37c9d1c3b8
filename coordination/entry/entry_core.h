#pragma once

#include "coordination/claims/idempotency_claims.h"
#include "coordination/entry/caller_error.h"
#include "coordination/entry/caller_request.h"
#include "coordination/entry/entry_action.h"
#include "coordination/entry/entry_settings.h"
#include "coordination/entry/request_state.h"
#include "coordination/entry/retry_policy.h"
#include "coordination/limits/entry_limits.h"
#include "coordination/messages/peer_message.h"
#include "coordination/queueing/cost_estimator.h"
#include "coordination/routing/router.h"
#include "coordination/routing/runner_view.h"
#include "state/ids.h"
#include "state/state_error.h"
#include "state/table_row.h"
#include "state/time.h"
#include "state/units.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace sardinelb {

// The decisions of one entry for the requests of its callers: limits, routing, retries, and what the caller is told.
// Events come in as calls; what has to be done is collected by takeActions(). Pure state machine; not safe for use
// from several threads.
//
// Guarantees:
// - A caller is told NotRun only when every attempt was refused, cancelled before dispatch, or never sent.
// - A request that may not run twice is submitted again only after its last attempt was surely not run.
// - Parts of an answer reach the caller in order, without gaps or repeats, and only from the current attempt.
class entry_core {
public:
    entry_core(entry_settings, entry_limits::limits_lookup);

    // Replaces the runners that the configuration names. Connections are kept.
    void setRunners(const std::vector<runner_view>&);

    // Runners that the entry should be connected to.
    std::vector<runner_id> wantedConnections() const;

    // Starts a request. Its answer comes as actions that carry its id.
    void onRequest(const caller_request&, time_point now);

    // The caller closed its connection.
    void onCallerDisconnected(const request_id&, time_point now);

    // The caller has read this many bytes of the answer.
    void onCallerRead(const request_id&, byte_count);

    void onPeerConnected(const runner_id&, incarnation, time_point now);
    void onPeerLost(const runner_id&, time_point now);
    void onMessage(const runner_id&, const peer_message&, time_point now);

    // Other entries, this one among them, and what comes from them.
    void setEntries(const std::vector<daemon_id>&, time_point now);
    void onEntryConnected(const daemon_id&, incarnation, time_point now);
    void onEntryLost(const daemon_id&, time_point now);
    void onEntryMessage(const daemon_id&, const peer_message&, time_point now);

    // Answers of the store to the claim transactions and reads that takeActions() asked for.
    void onClaimTransactionResult(std::uint64_t number, const state_result<row_revision>&, time_point now);
    void onClaimRowRead(std::uint64_t number, const state_result<std::optional<table_row>>&, time_point now);

    // Handles deadlines. Call it at least every 10 ms.
    void tick(time_point now);

    // Refuses new requests from now on, as on a planned stop.
    void stopAccepting();

    // Requests that have not ended.
    std::size_t inFlight() const;

    // Attempts that count as load of their runners.
    std::size_t routedAttempts() const;

    // Returns what has to be done, in order, and forgets it.
    std::vector<entry_action> takeActions();

private:
    using request_map = std::unordered_map<request_id, request_state>;

    void reserve(request_state&, time_point now);
    void retryReservations(time_point now);
    void exchangeLeases(time_point now);
    void claimKey(request_state&, time_point now);
    void exchangeClaims(time_point now);
    void claimAnswered(request_state&, const claim_result&, time_point now);
    // Tells the router which runners there are and which of them are connected.
    void updateRouter();
    void startAttempt(request_state&, time_point now);
    void submit(request_state&, const route_decision&, time_point now);
    void onAdmission(request_state&, const admission_message&, time_point now);
    void onChunk(request_state&, const chunk_message&, time_point now);
    void onFinish(request_state&, const finish_message&, time_point now);
    void onCancelled(request_state&, const cancelled_message&, time_point now);
    void attemptFailed(request_state&, execution_outcome, refusal_reason, const std::string& detail, time_point now);
    void complete(request_state&, const finish_message&, time_point now);
    void fail(request_state&, caller_error, time_point now);
    void failAtDeadline(request_state&, time_point now);
    void detach(request_state&, time_point now);
    void stageTimedOut(request_state&, time_point now);
    void requestCancel(request_state&, request_stage, time_point deadline);
    void answerError(request_state&, caller_error);
    void recordOutcome(request_state&, execution_outcome, int httpStatus, time_point now);
    void end(request_state&);
    void settle(const request_state&, time_point now);
    void eraseEnded();
    request_state* findCurrent(const runner_id&, const attempt_id&);
    execution_outcome knownExecution(const request_state&) const;
    attempt_id currentAttempt(const request_state&) const;
    void log(std::string part, const request_id&, const std::string& text);
    void send(const runner_id&, peer_message);

    entry_settings m_settings;
    router m_router;
    entry_limits m_limits;
    idempotency_claims m_claims;
    cost_estimator m_costs;
    retry_policy m_retries;
    std::vector<runner_view> m_runners;
    std::map<runner_id, incarnation> m_connected;
    request_map m_requests;
    std::vector<request_id> m_ended;
    bool m_stopping = false;
    std::vector<entry_action> m_actions;
};

}
