#include "coordination/leases/order_gate.h"

#include "coordination/leases/order_row.h"

#include <algorithm>
#include <utility>

namespace sardinelb {

namespace {

// A runner has one row, or two for the moment between two reads of a page.
constexpr int mostRows = 10;

bool contains(const std::set<std::string>& set, const std::string& name) { return set.contains(name); }

bool hasDesiredState(const runner_state& state, const runner_order& order)
{
    switch (order.kind) {
    case order_kind::LoadModel:
        return contains(state.models, order.subject);
    case order_kind::UnloadModel:
        return !contains(state.models, order.subject) && !contains(state.loading, order.subject);
    case order_kind::SetRole:
        return state.role == order.subject;
    case order_kind::LoadAdapter:
        return contains(state.adapters, order.subject);
    case order_kind::UnloadAdapter:
        return !contains(state.adapters, order.subject) && !contains(state.loading, order.subject);
    case order_kind::LoadVersion:
        return contains(state.versions, order.subject);
    case order_kind::UnloadVersion:
        return !contains(state.versions, order.subject) && !contains(state.loading, order.subject);
    }
    return false;
}

bool isLoading(const runner_state& state, const runner_order& order)
{
    const bool isLoad = order.kind == order_kind::LoadModel || order.kind == order_kind::LoadAdapter
        || order.kind == order_kind::LoadVersion;
    return isLoad && contains(state.loading, order.subject);
}

}

order_gate::order_gate(runner_id runner, incarnation lifetime, order_timing timing, time_point now)
    : m_runner(std::move(runner))
    , m_lifetime(lifetime)
    , m_timing(timing)
    , m_quietUntil(now + timing.runnerCallBound)
{
}

void order_gate::log(std::string text) { m_log.push_back({ "order", request_id(), std::move(text) }); }

void order_gate::finish(order_status status, const std::string& reason)
{
    m_current->order.status = status;
    m_lastFinished = m_current->order.sequence;
    log(describe(m_current->order) + (status == order_status::Done ? " is done: " : " is refused: ") + reason);
}

void order_gate::expireCalls(time_point now)
{
    if (m_tableCall && now - m_tableCall->sentAt >= m_timing.answerTimeout)
        m_tableCall.reset();
    if (!m_runnerCall || now - m_runnerCall->sentAt < m_timing.runnerTimeout)
        return;
    const open_call call = *m_runnerCall;
    m_runnerCall.reset();
    if (call.isWrite)
        noteOrderOutcome(runner_outcome::Unknown, call, now);
}

std::optional<table_call> order_gate::nextTableCall(time_point now)
{
    if (m_tableCall || now < m_nextTableCall)
        return std::nullopt;
    m_nextTableCall = now + m_timing.readPeriod;
    const bool isMarkDue = m_current && m_current->revision && m_current->order.status != order_status::Pending;
    m_tableCall = open_call { ++m_lastCall, now, isMarkDue, 0 };
    if (!isMarkDue)
        return table_call { m_lastCall, table_read { orderKeysOf(m_runner), endOfOrderKeysOf(m_runner), mostRows } };
    const std::string key = orderKey(m_runner, m_current->order.sequence);
    table_transaction transaction;
    transaction.conditions.push_back({ key, *m_current->revision });
    transaction.puts.emplace_back(key, toText(m_current->order));
    // A read must show the mark, or the row that a new holder wrote in the meantime.
    m_current->revision.reset();
    return table_call { m_lastCall, transaction };
}

std::optional<runner_call> order_gate::nextRunnerCall(time_point now)
{
    const bool hasWork = m_current && m_current->order.status == order_status::Pending;
    if (!hasWork || m_runnerCall || now < m_nextRunnerCall)
        return std::nullopt;
    if (m_current->order.number < m_highest) {
        finish(order_status::Refused, "a higher fencing number was seen");
        return std::nullopt;
    }
    const bool isStateFresh = m_stateReadAt && now - *m_stateReadAt <= m_timing.runnerTimeout;
    const bool isOrderDue = isStateFresh && *m_stateReadAt >= m_quietUntil;
    // Between two reads of the state while earlier calls run out.
    if (isStateFresh && !isOrderDue)
        return std::nullopt;
    m_runnerCall = open_call { ++m_lastCall, now, isOrderDue, m_current->order.sequence };
    m_stateReadAt.reset();
    if (!isOrderDue)
        return runner_call { m_lastCall, std::nullopt };
    log("give " + describe(m_current->order) + " to the runner");
    return runner_call { m_lastCall, m_current->order };
}

std::vector<gate_action> order_gate::tick(time_point now)
{
    expireCalls(now);
    std::vector<gate_action> actions;
    if (auto call = nextTableCall(now))
        actions.emplace_back(std::move(*call));
    if (auto call = nextRunnerCall(now))
        actions.emplace_back(std::move(*call));
    for (log_action& line : m_log)
        actions.emplace_back(std::move(line));
    m_log.clear();
    return actions;
}

void order_gate::takeRow(const runner_order& order, row_revision revision)
{
    const bool isSame = m_current && m_current->order.sequence == order.sequence;
    // A new holder has adopted an order that was refused for its number.
    const bool isRevived
        = isSame && m_current->order.status == order_status::Refused && order.number > m_current->order.number;
    if (isSame && !isRevived) {
        m_current->order.number = std::max(m_current->order.number, order.number);
        m_current->revision = revision;
        return;
    }
    m_current = current_order { order, revision };
    m_stateReadAt.reset();
}

void order_gate::noteRows(const std::vector<table_row>& rows)
{
    std::optional<std::pair<runner_order, row_revision>> pending;
    for (const table_row& row : rows) {
        const auto order = parseOrder(row);
        if (!order || order->runner != m_runner)
            continue;
        m_highest = std::max(m_highest, order->number);
        if (order->status == order_status::Pending)
            pending = { *order, row.revision };
    }
    if (pending)
        takeRow(pending->first, pending->second);
    else
        m_current.reset();
}

void order_gate::tableAnswered(const table_answer& answer, time_point now)
{
    if (!m_tableCall || answer.call != m_tableCall->id)
        return;
    const open_call call = *m_tableCall;
    m_tableCall.reset();
    if (call.isWrite) {
        m_nextTableCall = now;
        return;
    }
    if (answer.outcome != table_outcome::Done)
        return;
    m_lastRead = now;
    noteRows(answer.rows);
    const bool isMarkDue = m_current && m_current->order.status != order_status::Pending;
    if (isMarkDue)
        m_nextTableCall = now;
}

bool order_gate::isTableFresh(time_point now) const
{
    return m_lastRead && now - *m_lastRead <= 2 * m_timing.readPeriod + m_timing.answerTimeout;
}

bool order_gate::hasWaitedOut(const runner_order& order, time_point now)
{
    if (m_lastRead || order.number == m_highest)
        return true;
    if (order.number > m_waitingNumber) {
        m_waitingNumber = order.number;
        m_waitingSince = now;
        log(describe(order) + " waits until the lease of an earlier holder has ended");
    }
    return order.number == m_waitingNumber && now - m_waitingSince >= m_timing.leaseValidity;
}

void order_gate::takeMessage(const runner_order& order)
{
    m_highest = std::max(m_highest, order.number);
    if (m_current && m_current->order.sequence == order.sequence) {
        m_current->order.number = std::max(m_current->order.number, order.number);
        return;
    }
    if (order.sequence <= m_lastFinished || (m_current && order.sequence < m_current->order.sequence))
        return;
    m_current = current_order { order, std::nullopt };
    m_stateReadAt.reset();
}

void order_gate::orderReceived(const order_message& message, time_point now)
{
    const runner_order& order = message.order;
    if (order.runner != m_runner || message.agentLifetime != m_lifetime) {
        log("refuse " + describe(order) + ": it was sent to another incarnation");
        return;
    }
    if (order.number < m_highest) {
        log("refuse " + describe(order) + ": a higher fencing number was seen");
        return;
    }
    if (isTableFresh(now)) {
        m_nextTableCall = std::min(m_nextTableCall, now);
        return;
    }
    if (hasWaitedOut(order, now))
        takeMessage(order);
}

void order_gate::noteState(const runner_state& state, time_point sentAt, time_point now)
{
    m_highest = std::max(m_highest, state.highestNumber);
    if (!m_current || m_current->order.status != order_status::Pending)
        return;
    if (hasDesiredState(state, m_current->order)) {
        finish(order_status::Done, "the runner has the desired state");
        m_nextTableCall = std::min(m_nextTableCall, now);
    } else if (isLoading(state, m_current->order)) {
        m_nextRunnerCall = now + m_timing.statePeriod;
    } else {
        m_stateReadAt = sentAt;
    }
}

void order_gate::noteOrderOutcome(runner_outcome outcome, const open_call& call, time_point now)
{
    if (outcome == runner_outcome::Unknown) {
        // Counted from now, because a pause of this process may have delayed the call.
        m_quietUntil = now + m_timing.runnerCallBound;
        return;
    }
    if (outcome == runner_outcome::Unavailable)
        m_nextRunnerCall = now + m_timing.statePeriod;
    if (!m_current || m_current->order.status != order_status::Pending || m_current->order.sequence != call.sequence)
        return;
    if (outcome == runner_outcome::StaleNumber)
        finish(order_status::Refused, "the runner has seen a higher fencing number");
    else if (outcome == runner_outcome::Refused && ++m_current->refusals >= m_timing.mostRefusals)
        finish(order_status::Refused, "the runner refused it repeatedly");
}

void order_gate::runnerAnswered(const runner_answer& answer, time_point now)
{
    if (!m_runnerCall || answer.call != m_runnerCall->id)
        return;
    const open_call call = *m_runnerCall;
    m_runnerCall.reset();
    if (call.isWrite)
        noteOrderOutcome(answer.outcome, call, now);
    else if (answer.outcome == runner_outcome::Done)
        noteState(answer.state, call.sentAt, now);
    else
        m_nextRunnerCall = now + m_timing.statePeriod;
}

}
