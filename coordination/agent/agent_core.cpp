#include "coordination/agent/agent_core.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace sardinelb {

namespace {

// An entry that reconnects within this time finds its queued attempts still there.
constexpr duration orphanGrace = std::chrono::seconds(3);
constexpr duration orphanCheckInterval = std::chrono::milliseconds(100);
// An agent that ended at once could not refuse a submit that is on its way, and the entry would not know whether it ran.
// Covers the report of the stop and the submit with messages that are late by 500 ms.
constexpr duration lateSubmitTime = std::chrono::milliseconds(1500);
// Ticks come every 20 ms; a gap this long is a pause of the process. Below it, a drain that was missed still takes
// effect within its bound of 5 s.
constexpr duration longestGap = std::chrono::seconds(2);
// The configuration is read every second.
constexpr duration catchUpTime = std::chrono::seconds(2);
constexpr duration loadReportInterval = std::chrono::milliseconds(500);
// With many entries, reports go out less often, so that an agent sends at most 10 in a second: control has 5 KB/s.
constexpr duration loadReportPause = std::chrono::milliseconds(100);
// Bytes of one answer that may be on their way to the caller.
constexpr std::int64_t streamWindowBytes = std::int64_t { 256 } * 1024;
// Keeps a frame well under its bound.
constexpr std::size_t maxChunkBytes = std::size_t { 64 } * 1024;

std::string numberOf(const attempt_id& attempt)
{
    return "attempt " + std::to_string(attempt.number);
}

queued_request toQueuedRequest(const submit_message& m, time_point now)
{
    queued_request request;
    request.attempt = m.attempt;
    request.team = m.team;
    request.serviceClass = m.serviceClass;
    request.weight = m.weight;
    request.cost = m.cost;
    request.dispatchBy = now + m.dispatchWithin;
    request.answerBy = now + m.answerWithin;
    request.preemptible = m.idempotent && m.kind == pool_kind::Model;
    return request;
}

bool isWaiting(attempt_stage stage)
{
    return stage == attempt_stage::Queued;
}

bool isStarted(attempt_stage stage)
{
    return stage == attempt_stage::Dispatched || stage == attempt_stage::Paused;
}

}

agent_core::agent_core(agent_settings settings)
    : m_settings(std::move(settings))
    , m_queue(m_settings.queue)
{
}

void agent_core::configure(runner_target target, time_point now)
{
    noticeTime(now);
    if (target == m_target)
        return;
    m_target = target;
    m_actions.emplace_back(log_action { "order", {}, target == runner_target::Serving ? "Runner serves." : "Runner drains." });
    m_nextLoadReport = now;
    if (target != runner_target::Serving)
        refuseQueued(refusal_reason::Draining, now);
    reportLoad(now);
}

void agent_core::onRunnerReachabilityChanged(bool reachable, time_point now)
{
    noticeTime(now);
    if (reachable == m_runnerReachable)
        return;
    m_runnerReachable = reachable;
    m_actions.emplace_back(
        log_action { "member", {}, reachable ? "Runner is reachable." : "Runner cannot be reached." });
    m_nextLoadReport = now;
    if (!reachable)
        refuseQueued(refusal_reason::RunnerDown, now);
    reportLoad(now);
}

void agent_core::onPeerConnected(const daemon_id& entry, incarnation entryIncarnation, time_point now)
{
    noticeTime(now);
    m_connectedEntries[entry] = entryIncarnation;
    m_ledger.forEachActive([&](const attempt_id& attempt, attempt_record& record) {
        // An attempt of the same incarnation stays orphaned until the entry asks for it with a query.
        if (record.entry == entry && record.entryIncarnation != entryIncarnation)
            abandon(attempt, record, now);
    });
    pollQueue(now);
    send(entry, load_update_message { load() });
}

void agent_core::onPeerLost(const daemon_id& entry, time_point now)
{
    noticeTime(now);
    m_connectedEntries.erase(entry);
    m_ledger.forEachActive([&](const attempt_id&, attempt_record& record) {
        if (record.entry == entry && !record.orphanedAt)
            record.orphanedAt = now;
    });
}

void agent_core::onMessage(const daemon_id& entry, const peer_message& message, time_point now)
{
    noticeTime(now);
    if (const auto* submitted = std::get_if<submit_message>(&message))
        submit(entry, *submitted, now);
    else if (const auto* cancelled = std::get_if<cancel_message>(&message))
        cancel(entry, *cancelled, now);
    else if (const auto* queried = std::get_if<query_message>(&message))
        query(entry, *queried, now);
    else if (const auto* credited = std::get_if<credit_message>(&message))
        credit(*credited);
}

void agent_core::submit(const daemon_id& entry, const submit_message& m, time_point now)
{
    if (const attempt_record* known = m_ledger.find(m.attempt)) {
        // Only a buried attempt may be called refused; any other answer goes out on its own.
        if (known->stage == attempt_stage::Tombstone)
            refuse(entry, m.attempt, refusal_reason::Cancelled, now);
        return;
    }
    refusal_reason reason = reasonToRefuse();
    if (m.expectedIncarnation != m_settings.ownIncarnation)
        reason = refusal_reason::WrongIncarnation;
    if (reason == refusal_reason::None)
        reason = m_queue.admit(toQueuedRequest(m, now), now);
    if (reason != refusal_reason::None) {
        refuse(entry, m.attempt, reason, now);
        return;
    }
    attempt_record record;
    record.submit = m;
    record.entry = entry;
    record.entryIncarnation = m_connectedEntries[entry];
    record.credit = streamWindowBytes;
    record.answerBy = now + m.answerWithin;
    m_ledger.insert(m.attempt, std::move(record));
    send(entry, admission_message { m.attempt, refusal_reason::None, load() });
    pollQueue(now);
}

refusal_reason agent_core::reasonToRefuse() const
{
    if (m_stopping || m_target != runner_target::Serving)
        return refusal_reason::Draining;
    if (!m_runnerReachable || isCatchingUp())
        return refusal_reason::RunnerDown;
    return refusal_reason::None;
}

void agent_core::refuse(const daemon_id& entry, const attempt_id& attempt, refusal_reason reason, time_point now)
{
    m_ledger.bury(attempt, now);
    log("queue", attempt, numberOf(attempt) + " refused: " + toString(reason) + ".");
    send(entry, admission_message { attempt, reason, load() });
}

void agent_core::refuseQueued(refusal_reason reason, time_point now)
{
    m_ledger.forEachActive([&](const attempt_id& attempt, attempt_record& record) {
        if (isWaiting(record.stage) && m_queue.remove(attempt))
            refuse(daemon_id(record.entry), attempt, reason, now);
    });
}

void agent_core::cancel(const daemon_id& entry, const cancel_message& m, time_point now)
{
    attempt_record* record = m_ledger.find(m.attempt);
    bool neverDispatched = true;
    if (!record)
        m_ledger.bury(m.attempt, now);
    else if (isWaiting(record->stage)) {
        m_queue.remove(m.attempt);
        m_ledger.bury(m.attempt, now);
    } else if (isStarted(record->stage)) {
        neverDispatched = false;
        // A call that may not run twice is left to end, so that its outcome becomes known.
        if (record->submit.idempotent)
            abandon(m.attempt, *record, now);
    } else if (record->stage == attempt_stage::Finished)
        neverDispatched = record->result && record->result->outcome == execution_outcome::NotRun;
    log("queue", m.attempt,
        numberOf(m.attempt) + (neverDispatched ? " cancelled before dispatch." : " cancelled after dispatch."));
    send(entry, cancelled_message { m.attempt, neverDispatched });
    pollQueue(now);
}

void agent_core::query(const daemon_id& entry, const query_message& m, time_point now)
{
    attempt_record* record = m_ledger.find(m.attempt);
    if (!record)
        m_ledger.bury(m.attempt, now);
    if (!record || record->stage == attempt_stage::Tombstone) {
        log("queue", m.attempt, numberOf(m.attempt) + " is not known here and will not run.");
        send(entry, cancelled_message { m.attempt, true });
        return;
    }
    record->entry = entry;
    record->orphanedAt.reset();
    if (!record->result)
        send(entry, admission_message { m.attempt, refusal_reason::None, load() });
    for (const chunk_message& chunk : record->keptChunks) {
        if (chunk.sequence >= m.nextSequence)
            send(entry, chunk);
    }
    if (record->result)
        send(entry, *record->result);
}

void agent_core::credit(const credit_message& m)
{
    attempt_record* record = m_ledger.find(m.attempt);
    if (!record || !isStarted(record->stage))
        return;
    record->credit = std::min(record->credit + m.bytes.value(), streamWindowBytes);
    if (record->held && record->credit > 0) {
        record->held = false;
        m_actions.emplace_back(hold_call_action { m.attempt, record->call, false });
    }
}

void agent_core::noticeTime(time_point now)
{
    if (m_lastEvent && now - *m_lastEvent > longestGap) {
        m_caughtUpAt = now + catchUpTime;
        m_nextLoadReport = now;
        m_actions.emplace_back(log_action { "member", {}, "Paused for over 2 s; no work is taken for another 2 s." });
    }
    m_lastEvent = now;
}

bool agent_core::isCatchingUp() const { return m_lastEvent && *m_lastEvent < m_caughtUpAt; }

void agent_core::pollQueue(time_point now)
{
    if (isCatchingUp())
        return;
    for (const queue_action& action : m_queue.poll(now))
        perform(action, now);
}

void agent_core::perform(const queue_action& action, time_point now)
{
    attempt_record* record = m_ledger.find(action.attempt);
    if (!record)
        return;
    switch (action.kind) {
    case queue_action_kind::Dispatch:
    case queue_action_kind::Resume:
        startCall(*record, action.priority);
        break;
    case queue_action_kind::Pause:
        stopCall(*record);
        record->stage = attempt_stage::Paused;
        log("queue", action.attempt, numberOf(action.attempt) + " paused for shorter work.");
        break;
    case queue_action_kind::Refuse:
        refuse(daemon_id(record->entry), action.attempt, action.reason, now);
        break;
    }
}

void agent_core::startCall(attempt_record& record, int priority)
{
    const bool resumed = record.stage == attempt_stage::Paused;
    record.stage = attempt_stage::Dispatched;
    record.held = false;
    ++record.call;
    start_call_action action { record.submit, record.call, priority };
    action.submit.resumeFrom += record.tokensDone;
    log("queue", record.submit.attempt,
        numberOf(record.submit.attempt) + (resumed ? " resumed" : " dispatched") + " with priority "
            + std::to_string(priority) + ".");
    m_actions.emplace_back(std::move(action));
}

void agent_core::stopCall(attempt_record& record)
{
    m_actions.emplace_back(stop_call_action { record.submit.attempt, record.call });
    ++record.call;
}

attempt_record* agent_core::currentCall(const attempt_id& attempt, std::uint32_t call)
{
    attempt_record* record = m_ledger.find(attempt);
    if (!record || record->stage != attempt_stage::Dispatched || record->call != call)
        return nullptr;
    return record;
}

void agent_core::onTokens(const attempt_id& attempt, std::uint32_t call, std::uint32_t firstToken,
    std::uint32_t tokens, const std::string& bytes, time_point now)
{
    noticeTime(now);
    attempt_record* record = currentCall(attempt, call);
    if (!record)
        return;
    if (firstToken != record->submit.resumeFrom + record->tokensDone) {
        stopCall(*record);
        m_queue.onAttemptFinished(attempt, now);
        finish_message m;
        m.outcome = execution_outcome::Failed;
        m.detail = "runner skipped or repeated tokens";
        finish(*record, std::move(m), now);
        return;
    }
    record->tokensDone += tokens;
    m_queue.onAttemptProgress(attempt, token_count(tokens), now);
    sendChunk(*record, { attempt, 0, firstToken, tokens, bytes });
    pollQueue(now);
}

void agent_core::sendChunk(attempt_record& record, chunk_message chunk)
{
    chunk.sequence = record.chunkCount++;
    record.credit -= static_cast<std::int64_t>(chunk.bytes.size());
    if (!record.submit.idempotent)
        record.keptChunks.push_back(chunk);
    if (record.credit <= 0 && !record.held) {
        record.held = true;
        m_actions.emplace_back(hold_call_action { chunk.attempt, record.call, true });
    }
    send(record.entry, std::move(chunk));
}

void agent_core::onServiceAnswer(const attempt_id& attempt, std::uint32_t call, int status,
    const std::string& contentType, const std::string& body, time_point now)
{
    noticeTime(now);
    attempt_record* record = currentCall(attempt, call);
    if (!record)
        return;
    for (std::size_t offset = 0; offset < body.size(); offset += maxChunkBytes)
        sendChunk(*record, { attempt, 0, 0, 0, body.substr(offset, maxChunkBytes) });
    m_queue.onAttemptFinished(attempt, now);
    finish_message m;
    m.outcome = execution_outcome::Completed;
    m.httpStatus = status;
    m.contentType = contentType;
    finish(*record, std::move(m), now);
    pollQueue(now);
}

void agent_core::onCallCompleted(
    const attempt_id& attempt, std::uint32_t call, const token_usage& usage, time_point now)
{
    noticeTime(now);
    attempt_record* record = currentCall(attempt, call);
    if (!record)
        return;
    m_queue.onAttemptFinished(attempt, now);
    finish_message m;
    m.outcome = execution_outcome::Completed;
    // The runner counts what its last call generated; a paused attempt has had several.
    m.usage = { usage.promptTokens, token_count(record->tokensDone) };
    finish(*record, std::move(m), now);
    pollQueue(now);
}

void agent_core::onCallFailed(
    const attempt_id& attempt, std::uint32_t call, call_failure failure, const std::string& detail, time_point now)
{
    noticeTime(now);
    attempt_record* record = currentCall(attempt, call);
    if (!record)
        return;
    m_queue.onAttemptFinished(attempt, now);
    finish_message m;
    m.detail = detail;
    const bool firstCall = record->call == 1;
    if (failure != call_failure::Broken && firstCall)
        m.outcome = execution_outcome::NotRun;
    else
        m.outcome = record->submit.idempotent ? execution_outcome::Failed : execution_outcome::Unknown;
    finish(*record, std::move(m), now);
    // The entries send work elsewhere at once; the next probe that succeeds brings the runner back.
    if (failure == call_failure::Unreachable)
        onRunnerReachabilityChanged(false, now);
    pollQueue(now);
}

void agent_core::finishNotRun(attempt_record& record, const std::string& detail, time_point now)
{
    finish_message m;
    m.outcome = execution_outcome::NotRun;
    m.detail = detail;
    finish(record, std::move(m), now);
}

void agent_core::finish(attempt_record& record, finish_message m, time_point now)
{
    m.attempt = record.submit.attempt;
    m.chunkCount = record.chunkCount;
    m.load = load();
    if (m.outcome == execution_outcome::Completed)
        log("queue", m.attempt, numberOf(m.attempt) + " completed.");
    else
        log("queue", m.attempt, numberOf(m.attempt) + " ended: " + m.detail + ".");
    record.result = m;
    m_ledger.retire(record, now);
    send(record.entry, std::move(m));
}

// Gives up an attempt whose entry no longer wants the answer.
void agent_core::abandon(const attempt_id& attempt, attempt_record& record, time_point now)
{
    if (isWaiting(record.stage)) {
        m_queue.remove(attempt);
        finishNotRun(record, "entry is gone", now);
        return;
    }
    if (!isStarted(record.stage) || !record.submit.idempotent)
        return;
    if (record.stage == attempt_stage::Dispatched)
        stopCall(record);
    m_queue.onAttemptFinished(attempt, now);
    finish_message m;
    m.outcome = execution_outcome::Failed;
    m.detail = "cancelled";
    finish(record, std::move(m), now);
}

void agent_core::abandonOrphans(time_point now)
{
    if (now < m_nextOrphanCheck)
        return;
    m_nextOrphanCheck = now + orphanCheckInterval;
    m_ledger.forEachActive([&](const attempt_id& attempt, attempt_record& record) {
        if (record.orphanedAt && now - *record.orphanedAt >= orphanGrace)
            abandon(attempt, record, now);
    });
}

void agent_core::tick(time_point now)
{
    noticeTime(now);
    abandonOrphans(now);
    m_ledger.expire(now);
    if (m_lateSubmitsUntil && now >= *m_lateSubmitsUntil)
        m_lateSubmitsUntil.reset();
    pollQueue(now);
    reportLoad(now);
}

void agent_core::reportLoad(time_point now)
{
    if (now < m_nextLoadReport)
        return;
    const auto entries = static_cast<int>(m_connectedEntries.size());
    m_nextLoadReport = now + std::max(loadReportInterval, entries * loadReportPause);
    for (const auto& [entry, entryIncarnation] : m_connectedEntries)
        send(entry, load_update_message { load() });
}

void agent_core::stopAccepting(time_point now)
{
    noticeTime(now);
    m_stopping = true;
    m_lateSubmitsUntil = now + lateSubmitTime;
    refuseQueued(refusal_reason::Draining, now);
    m_nextLoadReport = now;
    reportLoad(now);
}

bool agent_core::isIdle() const
{
    return m_ledger.active() == 0 && !m_lateSubmitsUntil;
}

bool agent_core::accepting() const
{
    return reasonToRefuse() == refusal_reason::None;
}

load_report agent_core::load() const
{
    load_report report;
    report.runner = m_settings.runner;
    report.accepting = accepting();
    report.queued = m_queue.queued();
    report.running = m_queue.running();
    report.slots = m_settings.queue.slots;
    report.backlog = m_queue.backlog();
    return report;
}

std::vector<agent_action> agent_core::takeActions()
{
    return std::exchange(m_actions, {});
}

void agent_core::log(std::string part, const attempt_id& attempt, const std::string& text)
{
    m_actions.emplace_back(log_action { std::move(part), attempt.request, text });
}

void agent_core::send(const daemon_id& entry, peer_message message)
{
    if (m_connectedEntries.contains(entry))
        m_actions.emplace_back(send_to_peer_action { entry, std::move(message) });
}

}
