#include "coordination/leases/order_gate.h"

#include "coordination/leases/order_row.h"

#include <algorithm>
#include <utility>

namespace sardinelb {

namespace {

// A runner has one row, or briefly two between the reads of two pages. The limit leaves room for more.
constexpr int maxRows = 10;

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
    , m_noOrdersUntil(now + timing.maxRunnerCallDelay)
{
}

void order_gate::log(std::string text) { m_log.push_back({ "order", request_id(), std::move(text) }); }

void order_gate::finishOrder(order_status status, const std::string& reason)
{
    m_current->order.status = status;
    m_lastFinishedSequence = m_current->order.sequence;
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
        onOrderResult(runner_outcome::Unknown, call, now);
}

std::optional<table_call> order_gate::nextTableCall(time_point now)
{
    if (m_tableCall || now < m_nextTableCallAt)
        return std::nullopt;
    m_nextTableCallAt = now + m_timing.readPeriod;
    const bool isStatusWriteDue = m_current && m_current->revision && m_current->order.status != order_status::Pending;
    m_tableCall = open_call { ++m_lastCallId, now, isStatusWriteDue, 0 };
    if (!isStatusWriteDue)
        return table_call { m_lastCallId, table_read { orderKeysOf(m_runner), endOfOrderKeysOf(m_runner), maxRows } };
    const std::string key = orderKey(m_runner, m_current->order.sequence);
    table_transaction transaction;
    transaction.conditions.push_back({ key, *m_current->revision });
    transaction.puts.emplace_back(key, toText(m_current->order));
    // The next read shows whether the status was written or a new holder has written the row in the meantime.
    m_current->revision.reset();
    return table_call { m_lastCallId, transaction };
}

std::optional<runner_call> order_gate::nextRunnerCall(time_point now)
{
    const bool hasWork = m_current && m_current->order.status == order_status::Pending;
    if (!hasWork || m_runnerCall || now < m_nextRunnerCallAt)
        return std::nullopt;
    if (m_current->order.number < m_highestNumber) {
        finishOrder(order_status::Refused, "a higher fencing number was seen");
        return std::nullopt;
    }
    const bool isStateFresh = m_stateReadAt && now - *m_stateReadAt <= m_timing.runnerTimeout;
    const bool isOrderDue = isStateFresh && *m_stateReadAt >= m_noOrdersUntil;
    // No call is due between two reads of the state until earlier calls can no longer take effect.
    if (isStateFresh && !isOrderDue)
        return std::nullopt;
    m_runnerCall = open_call { ++m_lastCallId, now, isOrderDue, m_current->order.sequence };
    m_stateReadAt.reset();
    if (!isOrderDue)
        return runner_call { m_lastCallId, std::nullopt };
    log("sending " + describe(m_current->order) + " to the runner");
    return runner_call { m_lastCallId, m_current->order };
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

void order_gate::applyRow(const runner_order& order, row_revision revision)
{
    const bool isSame = m_current && m_current->order.sequence == order.sequence;
    // A new holder has adopted an order that was refused because of its fencing number.
    const bool isAdopted
        = isSame && m_current->order.status == order_status::Refused && order.number > m_current->order.number;
    if (isSame && !isAdopted) {
        m_current->order.number = std::max(m_current->order.number, order.number);
        m_current->revision = revision;
        return;
    }
    m_current = current_order { order, revision };
    m_stateReadAt.reset();
}

void order_gate::applyRows(const std::vector<table_row>& rows)
{
    std::optional<std::pair<runner_order, row_revision>> pending;
    for (const table_row& row : rows) {
        const auto order = parseOrder(row);
        if (!order || order->runner != m_runner)
            continue;
        m_highestNumber = std::max(m_highestNumber, order->number);
        if (order->status == order_status::Pending)
            pending = { *order, row.revision };
    }
    if (pending)
        applyRow(pending->first, pending->second);
    else
        m_current.reset();
}

void order_gate::onTableResult(const table_answer& answer, time_point now)
{
    if (!m_tableCall || answer.call != m_tableCall->id)
        return;
    const open_call call = *m_tableCall;
    m_tableCall.reset();
    if (call.isWrite) {
        m_nextTableCallAt = now;
        return;
    }
    if (answer.outcome != table_outcome::Done)
        return;
    m_lastReadAt = now;
    applyRows(answer.rows);
    const bool isStatusWriteDue = m_current && m_current->order.status != order_status::Pending;
    if (isStatusWriteDue)
        m_nextTableCallAt = now;
}

bool order_gate::isTableFresh(time_point now) const
{
    return m_lastReadAt && now - *m_lastReadAt <= 2 * m_timing.readPeriod + m_timing.answerTimeout;
}

bool order_gate::waitForEarlierLease(const runner_order& order, time_point now)
{
    if (m_lastReadAt || order.number == m_highestNumber)
        return true;
    if (order.number > m_waitingNumber) {
        m_waitingNumber = order.number;
        m_waitingSince = now;
        log(describe(order) + " waits until the lease of an earlier holder has ended");
    }
    return order.number == m_waitingNumber && now - m_waitingSince >= m_timing.leaseValidity;
}

void order_gate::applyMessage(const runner_order& order)
{
    m_highestNumber = std::max(m_highestNumber, order.number);
    if (m_current && m_current->order.sequence == order.sequence) {
        m_current->order.number = std::max(m_current->order.number, order.number);
        return;
    }
    if (order.sequence <= m_lastFinishedSequence || (m_current && order.sequence < m_current->order.sequence))
        return;
    m_current = current_order { order, std::nullopt };
    m_stateReadAt.reset();
}

void order_gate::onOrderMessage(const order_message& message, time_point now)
{
    const runner_order& order = message.order;
    if (order.runner != m_runner || message.agentLifetime != m_lifetime) {
        log("refused " + describe(order) + ": it was addressed to another runner or another incarnation of the agent");
        return;
    }
    if (order.number < m_highestNumber) {
        log("refused " + describe(order) + ": a higher fencing number was seen");
        return;
    }
    if (isTableFresh(now)) {
        m_nextTableCallAt = std::min(m_nextTableCallAt, now);
        return;
    }
    if (waitForEarlierLease(order, now))
        applyMessage(order);
}

void order_gate::onRunnerState(const runner_state& state, time_point sentAt, time_point now)
{
    m_highestNumber = std::max(m_highestNumber, state.highestNumber);
    if (!m_current || m_current->order.status != order_status::Pending)
        return;
    if (hasDesiredState(state, m_current->order)) {
        finishOrder(order_status::Done, "the runner has the desired state");
        m_nextTableCallAt = std::min(m_nextTableCallAt, now);
    } else if (isLoading(state, m_current->order)) {
        m_nextRunnerCallAt = now + m_timing.statePeriod;
    } else {
        m_stateReadAt = sentAt;
    }
}

void order_gate::onOrderResult(runner_outcome outcome, const open_call& call, time_point now)
{
    if (outcome == runner_outcome::Unknown) {
        // Counted from now, because a pause of this process may have delayed the call.
        m_noOrdersUntil = now + m_timing.maxRunnerCallDelay;
        return;
    }
    if (outcome == runner_outcome::Unavailable)
        m_nextRunnerCallAt = now + m_timing.statePeriod;
    if (!m_current || m_current->order.status != order_status::Pending || m_current->order.sequence != call.sequence)
        return;
    if (outcome == runner_outcome::StaleNumber)
        finishOrder(order_status::Refused, "the runner has seen a higher fencing number");
    else if (outcome == runner_outcome::Refused && ++m_current->refusals >= m_timing.maxRefusals)
        finishOrder(order_status::Refused, "the runner refused it repeatedly");
}

void order_gate::onRunnerResult(const runner_answer& answer, time_point now)
{
    if (!m_runnerCall || answer.call != m_runnerCall->id)
        return;
    const open_call call = *m_runnerCall;
    m_runnerCall.reset();
    if (call.isWrite)
        onOrderResult(answer.outcome, call, now);
    else if (answer.outcome == runner_outcome::Done)
        onRunnerState(answer.state, call.sentAt, now);
    else
        m_nextRunnerCallAt = now + m_timing.statePeriod;
}

}
