#include "coordination/entry/entry_core.h"

#include "coordination/claims/claim_refusal.h"
#include "state/name_digest.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

namespace sardinelb {

namespace {

// Retry interval when no runner is available for a request that has had an attempt.
constexpr duration noRunnerDelay = std::chrono::milliseconds(50);
// Recorded with an outcome without a known response of a runner.
constexpr int httpStatusUnknown = 0;
constexpr duration noRunnerRetryAfter = std::chrono::seconds(1);
// How long the outcome of a request is awaited after its caller was told that it is unknown.
constexpr duration detachedTimeout = std::chrono::seconds(60);
// Maximum size of a plain service's answer, which is buffered until it is complete.
constexpr std::size_t maxServiceAnswerBytes = 4U << 20U;

std::string describe(const route_decision& decision)
{
    return std::string(toString(decision.reason)) + ", load " + std::to_string(decision.load) + ", "
        + std::to_string(decision.candidates) + " candidates";
}

std::string describeAttempt(const request_state& state)
{
    return "attempt " + std::to_string(state.attempt) + " on " + state.runner.value();
}

std::string errorCodeOf(refusal_reason refusal)
{
    return refusal == refusal_reason::None ? "runner_failed" : toString(refusal);
}

bool isAwaitingAgent(request_stage stage)
{
    switch (stage) {
    case request_stage::AwaitingLease:
    case request_stage::Claiming:
    case request_stage::Waiting:
    case request_stage::Lost:
    case request_stage::RecordingNotRun:
    case request_stage::Ended:
        return false;
    case request_stage::Submitted:
    case request_stage::Accepted:
    case request_stage::CancellingForRetry:
    case request_stage::CancellingAtDeadline:
    case request_stage::Detached:
        break;
    }
    return true;
}

}

entry_core::entry_core(entry_settings settings, entry_limits::limits_lookup limitsOf)
    : m_settings(std::move(settings))
    , m_router(m_settings.routing, m_settings.seed)
    , m_limits(m_settings.routing.self, std::move(limitsOf))
    , m_claims(m_settings.claimWriter)
    , m_retries(m_settings.seed + 1)
{
}

void entry_core::setRunners(const std::vector<runner_view>& runners)
{
    m_runners = runners;
    updateRouter();
}

void entry_core::updateRouter()
{
    for (runner_view& view : m_runners) {
        const auto connected = m_connected.find(view.runner);
        view.agentIncarnation = connected == m_connected.end() ? incarnation() : connected->second;
    }
    m_router.setRunners(m_runners);
}

std::vector<runner_id> entry_core::wantedConnections() const
{
    std::set<pool_id> pools;
    for (const runner_view& view : m_runners)
        pools.insert(view.pool);
    std::vector<runner_id> wanted;
    for (const pool_id& pool : pools) {
        const std::vector<runner_id> subset = m_router.subset(pool);
        wanted.insert(wanted.end(), subset.begin(), subset.end());
    }
    return wanted;
}

void entry_core::onRequest(const caller_request& request, time_point now)
{
    request_state state;
    state.request = request;
    state.answerBy = now + request.limits.answerWithin;
    request_state& stored = m_requests.insert_or_assign(request.id, std::move(state)).first->second;
    if (m_stopping) {
        failRequest(
            stored, { "draining", "the entry is shutting down", execution_outcome::NotRun, duration::zero() }, now);
        eraseEnded();
        return;
    }
    if (request.kind == pool_kind::Model) {
        const byte_count promptSize(static_cast<std::int64_t>(request.body.size()));
        stored.request.cost
            = m_costs.estimate(request.team, request.model, promptSize, token_count(request.maxTokens));
    }
    reserve(stored, now);
    exchangeLeases(now);
    eraseEnded();
}

void entry_core::reserve(request_state& state, time_point now)
{
    const caller_request& request = state.request;
    const auto reserved = m_limits.reserve(request.id, request.team, request.limits, request.cost, now);
    if (reserved) {
        m_retries.onRequestAccepted(request.team, request.limits, now);
        if (!request.idempotent && !request.idempotencyKey.empty())
            claimKey(state, now);
        else
            startAttempt(state, now);
        return;
    }
    if (const auto waitDeadline = m_limits.waitDeadline(request.id)) {
        state.stage = request_stage::AwaitingLease;
        state.stageDeadline = *waitDeadline;
        return;
    }
    log("limit", request.id, "Refused: " + reserved.error().subject + ": " + reserved.error().detail + ".");
    failRequest(state,
        { "over_contract", reserved.error().detail, execution_outcome::NotRun,
            m_limits.retryAfter(request.team, now) },
        now);
}

void entry_core::claimKey(request_state& state, time_point now)
{
    const caller_request& request = state.request;
    // The separator occurs in no method or target, so different requests have different texts.
    const std::uint64_t digest = nameDigest(request.method + "\n" + request.target + "\n" + request.body);
    state.stage = request_stage::Claiming;
    state.stageDeadline = time_point::max();
    m_claims.claim(request.id, request.team, request.idempotencyKey, std::to_string(digest),
        std::min(now + m_settings.claimTimeout, state.answerBy));
    exchangeClaims(now);
}

void entry_core::exchangeClaims(time_point now)
{
    m_claims.tick(now);
    for (claim_transaction& outgoing : m_claims.takeTransactions())
        m_actions.emplace_back(std::move(outgoing));
    for (claim_read& wanted : m_claims.takeReads())
        m_actions.emplace_back(std::move(wanted));
    for (const claim_result& result : m_claims.takeResults()) {
        const auto found = m_requests.find(result.request);
        if (found != m_requests.end() && found->second.stage == request_stage::Claiming)
            onClaimResult(found->second, result, now);
        else if (result.verdict == claim_verdict::Claimed)
            m_claims.onRequestEnded(result.request, execution_outcome::NotRun, 0, now);
    }
    for (const request_id& recorded : m_claims.takeRecorded()) {
        const auto found = m_requests.find(recorded);
        if (found == m_requests.end() || found->second.stage != request_stage::RecordingNotRun)
            continue;
        answerError(found->second, *found->second.pendingError);
        endRequest(found->second);
    }
}

void entry_core::onClaimResult(request_state& state, const claim_result& result, time_point now)
{
    log("claim", state.request.id, std::string("Idempotency key: ") + toString(result.verdict) + ".");
    if (result.verdict != claim_verdict::Claimed) {
        failRequest(state, refusalFor(result), now);
        return;
    }
    state.holdsClaim = true;
    startAttempt(state, now);
}

void entry_core::onClaimTransactionResult(
    std::uint64_t number, const state_result<row_revision>& result, time_point now)
{
    m_claims.onTransactionResult(number, result, now);
    exchangeClaims(now);
    eraseEnded();
}

void entry_core::onClaimRowRead(
    std::uint64_t number, const state_result<std::optional<table_row>>& result, time_point now)
{
    m_claims.onRowRead(number, result, now);
    exchangeClaims(now);
    eraseEnded();
}

void entry_core::retryReservations(time_point now)
{
    for (auto& [id, state] : m_requests) {
        if (state.stage == request_stage::AwaitingLease)
            reserve(state, now);
    }
}

void entry_core::exchangeLeases(time_point now)
{
    bool granted = false;
    for (send_to_peer_action& message : m_limits.takeMessages(now, granted))
        m_actions.emplace_back(std::move(message));
    if (granted)
        retryReservations(now);
}

void entry_core::setEntries(const std::vector<daemon_id>& entries, time_point now)
{
    m_limits.setEntries(entries, now);
}

void entry_core::onEntryConnected(const daemon_id& entry, incarnation number, time_point now)
{
    m_limits.onEntryConnected(entry, number, now);
}

void entry_core::onEntryLost(const daemon_id& entry, time_point now)
{
    m_limits.onEntryLost(entry, now);
}

void entry_core::onEntryMessage(const daemon_id& entry, const peer_message& message, time_point now)
{
    if (const auto* requests = std::get_if<lease_requests_message>(&message))
        m_limits.onMessage(entry, *requests, now);
    else if (const auto* grants = std::get_if<lease_grants_message>(&message)) {
        if (m_limits.onMessage(*grants, now))
            retryReservations(now);
    } else if (const auto* handover = std::get_if<limit_handover_message>(&message))
        m_limits.onMessage(*handover, now);
    exchangeLeases(now);
    eraseEnded();
}

void entry_core::startAttempt(request_state& state, time_point now)
{
    if (now >= state.answerBy) {
        failAtDeadline(state, now);
        return;
    }
    route_request wanted { state.request.id, state.request.pool, state.request.cost, state.request.prefixDigest,
        state.triedRunners };
    auto decision = m_router.choose(wanted, now);
    if (!decision && !wanted.excluded.empty()) {
        // No other runner is available: fall back to the runners tried before.
        wanted.excluded.clear();
        decision = m_router.choose(wanted, now);
    }
    if (decision) {
        submit(state, decision.value(), now);
        return;
    }
    if (state.attempt == 0) {
        log("route", state.request.id, "No runner of pool " + state.request.pool.value() + " is available.");
        failRequest(state,
            { "no_runner", "no runner of pool " + state.request.pool.value() + " is available",
                execution_outcome::NotRun, noRunnerRetryAfter },
            now);
        return;
    }
    state.stage = request_stage::Waiting;
    state.stageDeadline = now + noRunnerDelay;
}

void entry_core::submit(request_state& state, const route_decision& decision, time_point now)
{
    ++state.attempt;
    state.runner = decision.runner;
    state.agentIncarnation = m_connected[decision.runner];
    state.nextSequence = 0;
    state.stage = request_stage::Submitted;
    state.stageDeadline = std::min(now + m_settings.admissionTimeout, state.answerBy);
    state.triedRunners.push_back(decision.runner);
    m_router.onAttemptStarted(currentAttempt(state), state.runner, state.request.cost, now);
    log("route", state.request.id, describeAttempt(state) + ": " + describe(decision) + ".");

    const caller_request& request = state.request;
    submit_message m;
    m.attempt = currentAttempt(state);
    m.expectedIncarnation = state.agentIncarnation;
    m.team = request.team;
    m.serviceClass = request.serviceClass;
    m.weight = request.limits.weight;
    m.idempotent = request.idempotent;
    m.dispatchWithin = state.answerBy - now;
    m.answerWithin = state.answerBy - now;
    m.cost = request.cost;
    m.prefixDigest = request.prefixDigest;
    m.kind = request.kind;
    m.method = request.method;
    m.target = request.target;
    m.body = request.body;
    m.maxTokens = request.maxTokens;
    m.resumeFrom = state.tokensReceived;
    send(state.runner, std::move(m));
}

request_state* entry_core::findCurrent(const runner_id& runner, const attempt_id& attempt)
{
    const auto found = m_requests.find(attempt.request);
    if (found == m_requests.end())
        return nullptr;
    request_state& state = found->second;
    if (state.attempt != attempt.number || state.runner != runner || !isAwaitingAgent(state.stage))
        return nullptr;
    return &state;
}

void entry_core::onMessage(const runner_id& runner, const peer_message& message, time_point now)
{
    if (const auto* admission = std::get_if<admission_message>(&message)) {
        m_router.onLoadReport(admission->load, now);
        if (request_state* state = findCurrent(runner, admission->attempt))
            onAdmission(*state, *admission, now);
    } else if (const auto* chunk = std::get_if<chunk_message>(&message)) {
        if (request_state* state = findCurrent(runner, chunk->attempt))
            onChunk(*state, *chunk, now);
    } else if (const auto* finish = std::get_if<finish_message>(&message)) {
        m_router.onLoadReport(finish->load, now);
        if (request_state* state = findCurrent(runner, finish->attempt))
            onFinish(*state, *finish, now);
    } else if (const auto* cancelled = std::get_if<cancelled_message>(&message)) {
        if (request_state* state = findCurrent(runner, cancelled->attempt))
            onCancelled(*state, *cancelled, now);
    } else if (const auto* update = std::get_if<load_update_message>(&message))
        m_router.onLoadReport(update->load, now);
    eraseEnded();
}

void entry_core::onAdmission(request_state& state, const admission_message& m, time_point now)
{
    if (m.refusal != refusal_reason::None) {
        m_router.onAttemptFinished(m.attempt, execution_outcome::NotRun, true, now);
        onAttemptFailed(state, execution_outcome::NotRun, m.refusal, toString(m.refusal), now);
        return;
    }
    if (state.stage != request_stage::Submitted)
        return;
    state.stage = request_stage::Accepted;
    state.stageDeadline = state.answerBy;
}

void entry_core::onChunk(request_state& state, const chunk_message& m, time_point now)
{
    // Duplicate chunk after a query.
    if (m.sequence < state.nextSequence)
        return;
    const bool gap = m.sequence > state.nextSequence
        || (state.request.kind == pool_kind::Model && m.firstToken != state.tokensReceived);
    const bool tooLarge = state.body.size() + m.bytes.size() > maxServiceAnswerBytes;
    if (gap || tooLarge) {
        m_router.onAttemptFinished(m.attempt, execution_outcome::Failed, false, now);
        send(state.runner, cancel_message { m.attempt });
        onAttemptFailed(state, execution_outcome::Unknown, refusal_reason::None,
            gap ? "part of the answer is missing" : "answer exceeds the size limit", now);
        return;
    }
    if (state.nextSequence == 0)
        m_router.onFirstChunk(m.attempt, now);
    ++state.nextSequence;
    state.mayHaveRun = true;
    if (state.request.kind == pool_kind::Service) {
        state.body += m.bytes;
        return;
    }
    state.tokensReceived += m.tokens;
    if (!state.callerDisconnected && state.stage != request_stage::Detached)
        m_actions.emplace_back(answer_part_action { state.request.id, m.firstToken, m.tokens, m.bytes });
}

void entry_core::onFinish(request_state& state, const finish_message& m, time_point now)
{
    // An attempt that ended in the agent's queue does not count against the runner.
    m_router.onAttemptFinished(m.attempt, m.outcome, m.outcome == execution_outcome::NotRun, now);
    if (m.outcome == execution_outcome::Completed && m.chunkCount == state.nextSequence) {
        complete(state, m, now);
        return;
    }
    const bool broken = m.outcome == execution_outcome::Completed;
    const execution_outcome outcome = broken ? execution_outcome::Unknown : m.outcome;
    onAttemptFailed(state, outcome, refusal_reason::None, broken ? "part of the answer is missing" : m.detail, now);
}

void entry_core::onCancelled(request_state& state, const cancelled_message& m, time_point now)
{
    if (m.neverDispatched) {
        // A deadline that passed in the queue indicates load, a missing admission a slow agent.
        const bool slowAgent = state.stage == request_stage::CancellingForRetry;
        m_router.onAttemptFinished(m.attempt, execution_outcome::NotRun, !slowAgent, now);
        onAttemptFailed(state, execution_outcome::NotRun, refusal_reason::Cancelled, "cancelled before dispatch", now);
        return;
    }
    state.mayHaveRun = true;
    if (state.stage == request_stage::CancellingAtDeadline)
        failAtDeadline(state, now);
    else if (state.stage == request_stage::CancellingForRetry) {
        // The attempt was dispatched and may not run twice, so the entry waits for its end.
        state.stage = request_stage::Accepted;
        state.stageDeadline = state.answerBy;
    }
}

// Handles the end of the current attempt without a complete answer: retries or fails the request.
void entry_core::onAttemptFailed(
    request_state& state, execution_outcome outcome, refusal_reason refusal, const std::string& detail, time_point now)
{
    if (outcome != execution_outcome::NotRun)
        state.mayHaveRun = true;
    if (outcome != execution_outcome::NotRun && state.tokensReceived == 0)
        ++state.failuresBeforeAnswer;
    if (state.stage == request_stage::Detached || state.callerDisconnected) {
        settleReservation(state, now);
        recordOutcome(state, knownExecution(state), httpStatusUnknown, now);
        endRequest(state);
        return;
    }
    if (state.stage == request_stage::CancellingAtDeadline) {
        failAtDeadline(state, now);
        return;
    }
    const failed_attempt failed { currentAttempt(state), state.request.team, state.request.idempotent, outcome,
        refusal, state.failuresBeforeAnswer, state.answerBy };
    const retry_decision decision = m_retries.decide(failed, now);
    log("retry", state.request.id,
        describeAttempt(state) + " ended: " + detail + "; decision: " + toString(decision.verdict) + ".");
    if (decision.verdict == retry_verdict::Retry) {
        // Discard the partial answer of a plain service.
        state.body.clear();
        state.stage = request_stage::Waiting;
        state.stageDeadline = now + decision.delay;
        if (decision.delay <= duration::zero())
            startAttempt(state, now);
        return;
    }
    failRequest(state, { errorCodeOf(refusal), detail, knownExecution(state), std::nullopt }, now);
}

execution_outcome entry_core::knownExecution(const request_state& state) const
{
    if (!state.mayHaveRun)
        return execution_outcome::NotRun;
    return state.tokensReceived > 0 ? execution_outcome::Failed : execution_outcome::Unknown;
}

void entry_core::complete(request_state& state, const finish_message& m, time_point now)
{
    const caller_request& request = state.request;
    // Earlier attempts of a resumed stream generated some of the tokens.
    const token_usage usage { m.usage.promptTokens, token_count(state.tokensReceived) };
    m_limits.settle(request.id, usage, now);
    if (request.kind == pool_kind::Model) {
        const byte_count promptSize(static_cast<std::int64_t>(request.body.size()));
        m_costs.observe(request.team, request.model, promptSize, token_count(request.maxTokens), usage);
    }
    recordOutcome(state, execution_outcome::Completed, m.httpStatus, now);
    if (!state.callerDisconnected && state.stage != request_stage::Detached)
        m_actions.emplace_back(
            answer_end_action { request.id, usage, m.httpStatus, m.contentType, std::move(state.body) });
    endRequest(state);
}

void entry_core::failRequest(request_state& state, caller_error error, time_point now)
{
    // No effect when the attempt has ended or when there was none.
    m_router.onAttemptFinished(currentAttempt(state), execution_outcome::Unknown, false, now);
    settleReservation(state, now);
    const bool notRun = error.execution == execution_outcome::NotRun;
    const bool waitForRelease = state.holdsClaim && notRun && !state.callerDisconnected;
    recordOutcome(state, error.execution, httpStatusUnknown, now);
    if (waitForRelease) {
        state.stage = request_stage::RecordingNotRun;
        state.stageDeadline = now + m_settings.releaseTimeout;
        state.pendingError = std::move(error);
        return;
    }
    answerError(state, std::move(error));
    endRequest(state);
}

void entry_core::answerError(request_state& state, caller_error error)
{
    if (!state.callerDisconnected)
        m_actions.emplace_back(answer_error_action { state.request.id, std::move(error) });
}

// Records the outcome of the request in its claim, if it holds one.
void entry_core::recordOutcome(request_state& state, execution_outcome outcome, int httpStatus, time_point now)
{
    if (!std::exchange(state.holdsClaim, false))
        return;
    m_claims.onRequestEnded(state.request.id, outcome, httpStatus, now);
    exchangeClaims(now);
}

void entry_core::failAtDeadline(request_state& state, time_point now)
{
    caller_error error { "deadline_exceeded", "the answer was not ready before the deadline", knownExecution(state),
        std::nullopt };
    if (state.request.idempotent || !state.mayHaveRun) {
        failRequest(state, std::move(error), now);
        return;
    }
    answerError(state, std::move(error));
    detach(state, now);
}

// Keeps the request without its caller until the outcome is known.
void entry_core::detach(request_state& state, time_point now)
{
    state.stage = request_stage::Detached;
    state.stageDeadline = now + detachedTimeout;
}

void entry_core::endRequest(request_state& state)
{
    state.stage = request_stage::Ended;
    m_ended.push_back(state.request.id);
}

void entry_core::settleReservation(const request_state& state, time_point now)
{
    if (!state.mayHaveRun) {
        m_limits.release(state.request.id, now);
        return;
    }
    m_limits.settle(
        state.request.id, { state.request.cost.promptTokens, token_count(state.tokensReceived) }, now);
}

void entry_core::onCallerDisconnected(const request_id& id, time_point now)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end() || found->second.stage == request_stage::Ended)
        return;
    request_state& state = found->second;
    state.callerDisconnected = true;
    // A call that may not run twice continues, so that its outcome becomes known.
    if (!state.request.idempotent && state.attempt > 0 && state.stage != request_stage::Waiting)
        return;
    if (isAwaitingAgent(state.stage)) {
        send(state.runner, cancel_message { currentAttempt(state) });
        // The disconnect of a caller is no failure of the runner.
        m_router.onAttemptFinished(currentAttempt(state), execution_outcome::Failed, true, now);
        state.mayHaveRun = true;
    }
    settleReservation(state, now);
    recordOutcome(state, knownExecution(state), httpStatusUnknown, now);
    endRequest(state);
    eraseEnded();
}

void entry_core::onCallerRead(const request_id& id, byte_count bytes)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end() || found->second.stage != request_stage::Accepted)
        return;
    send(found->second.runner, credit_message { currentAttempt(found->second), bytes });
}

void entry_core::onPeerConnected(const runner_id& runner, incarnation agentIncarnation, time_point now)
{
    m_connected[runner] = agentIncarnation;
    updateRouter();
    for (auto& [id, state] : m_requests) {
        if (state.stage != request_stage::Lost || state.runner != runner)
            continue;
        if (state.agentIncarnation != agentIncarnation) {
            m_router.onAttemptFinished(currentAttempt(state), execution_outcome::Unknown, false, now);
            onAttemptFailed(state, execution_outcome::Unknown, refusal_reason::None, "agent restarted", now);
            continue;
        }
        if (now >= state.answerBy) {
            // The agent may have discarded the attempt and would then report that it never ran.
            m_router.onAttemptFinished(currentAttempt(state), execution_outcome::Unknown, false, now);
            onAttemptFailed(state, execution_outcome::Unknown, refusal_reason::None,
                "agent reconnected after the deadline", now);
            continue;
        }
        state.stage = request_stage::Submitted;
        state.stageDeadline = state.answerBy;
        log("retry", id, describeAttempt(state) + ": querying its state after a lost connection.");
        send(runner, query_message { currentAttempt(state), state.nextSequence });
    }
    eraseEnded();
}

void entry_core::onPeerLost(const runner_id& runner, time_point now)
{
    m_connected.erase(runner);
    updateRouter();
    for (auto& [id, state] : m_requests) {
        if (!isAwaitingAgent(state.stage) || state.runner != runner)
            continue;
        if (state.request.idempotent) {
            m_router.onAttemptFinished(currentAttempt(state), execution_outcome::Unknown, false, now);
            onAttemptFailed(state, execution_outcome::Unknown, refusal_reason::None, "connection to agent lost", now);
            continue;
        }
        if (state.stage == request_stage::Detached) {
            // No query follows for a detached request, so the attempt must not count as load any longer.
            m_router.onAttemptFinished(currentAttempt(state), execution_outcome::Unknown, false, now);
            continue;
        }
        state.stage = request_stage::Lost;
        state.stageDeadline = std::min(now + m_settings.reconnectTimeout, state.answerBy);
    }
    eraseEnded();
}

void entry_core::requestCancel(request_state& state, request_stage stage, time_point deadline)
{
    state.stage = stage;
    state.stageDeadline = deadline;
    send(state.runner, cancel_message { currentAttempt(state) });
}

void entry_core::onStageTimeout(request_state& state, time_point now)
{
    switch (state.stage) {
    case request_stage::Waiting:
        startAttempt(state, now);
        break;
    case request_stage::AwaitingLease:
        reserve(state, now);
        break;
    case request_stage::Submitted:
        if (now >= state.answerBy)
            requestCancel(state, request_stage::CancellingAtDeadline, now + m_settings.cancelTimeout);
        else
            requestCancel(state, request_stage::CancellingForRetry, state.answerBy);
        break;
    case request_stage::Accepted:
    case request_stage::CancellingForRetry:
        requestCancel(state, request_stage::CancellingAtDeadline, now + m_settings.cancelTimeout);
        break;
    case request_stage::CancellingAtDeadline:
        // The agent did not reply to the cancel, so the outcome is unknown.
        m_router.onAttemptFinished(currentAttempt(state), execution_outcome::Unknown, false, now);
        state.mayHaveRun = true;
        failAtDeadline(state, now);
        break;
    case request_stage::Lost:
        m_router.onAttemptFinished(currentAttempt(state), execution_outcome::Unknown, false, now);
        onAttemptFailed(state, execution_outcome::Unknown, refusal_reason::None, "agent did not reconnect", now);
        break;
    case request_stage::Detached:
        m_router.onAttemptFinished(currentAttempt(state), execution_outcome::Unknown, false, now);
        settleReservation(state, now);
        recordOutcome(state, knownExecution(state), httpStatusUnknown, now);
        endRequest(state);
        break;
    case request_stage::Claiming:
        // idempotency_claims has its own deadline and always returns a result.
        break;
    case request_stage::RecordingNotRun:
        answerError(state, *state.pendingError);
        endRequest(state);
        break;
    case request_stage::Ended:
        break;
    }
}

void entry_core::tick(time_point now)
{
    for (auto& [id, state] : m_requests) {
        if (now >= state.stageDeadline)
            onStageTimeout(state, now);
    }
    exchangeLeases(now);
    exchangeClaims(now);
    eraseEnded();
}

void entry_core::stopAccepting()
{
    m_stopping = true;
}

std::size_t entry_core::inFlight() const
{
    return m_requests.size();
}

std::size_t entry_core::routedAttempts() const
{
    return m_router.inFlight();
}

void entry_core::eraseEnded()
{
    for (const request_id& id : m_ended)
        m_requests.erase(id);
    m_ended.clear();
}

std::vector<entry_action> entry_core::takeActions()
{
    return std::exchange(m_actions, {});
}

attempt_id entry_core::currentAttempt(const request_state& state) const
{
    return { state.request.id, state.attempt };
}

void entry_core::log(std::string part, const request_id& request, const std::string& text)
{
    m_actions.emplace_back(log_action { std::move(part), request, text });
}

void entry_core::send(const runner_id& runner, peer_message message)
{
    m_actions.emplace_back(send_to_peer_action { daemon_id(runner.value()), std::move(message) });
}

}
