#include "coordination/leases/order_issuer.h"

#include "coordination/leases/order_row.h"

#include <utility>

namespace sardinelb {

namespace {

// Rows per read; 1000 is the limit of the table.
constexpr int rowsPerPage = 1000;

}

order_issuer::order_issuer(order_timing timing)
    : m_timing(timing)
    , m_nextPageKey(orderKeysFrom)
{
}

void order_issuer::log(std::string text) { m_log.push_back({ "order", request_id(), std::move(text) }); }

bool order_issuer::isBusy(const runner_id& runner) const
{
    if (m_queuedCommands.contains(runner))
        return true;
    const auto found = m_orders.find(runner);
    return found != m_orders.end() && found->second.order.status == order_status::Pending;
}

std::optional<runner_order> order_issuer::latestOrder(const runner_id& runner) const
{
    const auto found = m_orders.find(runner);
    if (found == m_orders.end())
        return std::nullopt;
    return found->second.order;
}

bool order_issuer::request(const order_command& command)
{
    if (!m_isSynced || isBusy(command.runner))
        return false;
    const auto found = m_orders.find(command.runner);
    if (found != m_orders.end() && found->second.order.id == command.id)
        return false;
    m_queuedCommands[command.runner] = command;
    log(std::string(toString(command.kind)) + " " + command.subject + " on " + command.runner.value() + ": "
        + command.reason);
    return true;
}

void order_issuer::onAgentHeard(const runner_id& runner, incarnation lifetime)
{
    incarnation& known = m_agentIncarnations[runner];
    known = std::max(known, lifetime);
}

void order_issuer::restartRead()
{
    if (m_call && m_call->leaseRevision)
        m_blockedRevision = m_call->leaseRevision;
    m_call.reset();
    m_isSynced = false;
    m_readOrders.clear();
    m_nextPageKey = orderKeysFrom;
}

void order_issuer::onLeaseLost()
{
    restartRead();
    m_queuedCommands.clear();
}

void order_issuer::expireCall(time_point now)
{
    if (m_call && now - m_call->sentAt >= m_timing.answerTimeout)
        restartRead();
}

table_call order_issuer::readCall(time_point now)
{
    m_call = open_call { ++m_lastCallId, now, std::nullopt, {} };
    return { m_lastCallId, table_read { m_nextPageKey, orderKeysTo, rowsPerPage } };
}

table_call order_issuer::writeCall(const runner_order& order, const lease_view& held, time_point now)
{
    m_call = open_call { ++m_lastCallId, now, held.revision, order };
    const std::string key = orderKey(order.runner, order.sequence);
    table_transaction transaction;
    transaction.conditions.push_back({ held.key, held.revision });
    const auto stored = m_orders.find(order.runner);
    const bool isStored = stored != m_orders.end();
    const bool isAdoption = isStored && stored->second.order.sequence == order.sequence;
    transaction.conditions.push_back({ key, isAdoption ? stored->second.revision : row_revision() });
    if (isStored && !isAdoption) {
        const std::string last = orderKey(order.runner, stored->second.order.sequence);
        transaction.conditions.push_back({ last, stored->second.revision });
        transaction.deletes.push_back(last);
    }
    transaction.puts.emplace_back(key, toText(order));
    return { m_lastCallId, transaction };
}

std::optional<table_call> order_issuer::adoptionCall(const lease_view& held, time_point now)
{
    for (const auto& [runner, stored] : m_orders) {
        if (stored.order.status != order_status::Pending || stored.order.number == held.number)
            continue;
        runner_order adopted = stored.order;
        adopted.number = held.number;
        return writeCall(adopted, held, now);
    }
    return std::nullopt;
}

std::optional<table_call> order_issuer::insertionCall(const lease_view& held, time_point now)
{
    if (m_queuedCommands.empty())
        return std::nullopt;
    const order_command& command = m_queuedCommands.begin()->second;
    const auto stored = m_orders.find(command.runner);
    const std::uint64_t last = stored == m_orders.end() ? 0 : stored->second.order.sequence;
    return writeCall(
        { command.runner, last + 1, command.id, held.number, command.kind, command.subject, order_status::Pending },
        held, now);
}

std::optional<table_call> order_issuer::nextCall(const lease_view& held, time_point now)
{
    if (m_blockedRevision == held.revision)
        return std::nullopt;
    m_blockedRevision.reset();
    if (now < m_nextCallAt)
        return std::nullopt;
    if (!m_isSynced)
        return readCall(now);
    if (auto call = adoptionCall(held, now))
        return call;
    if (auto call = insertionCall(held, now))
        return call;
    // Only a read shows that an order has finished.
    m_nextCallAt = now + m_timing.readPeriod;
    return readCall(now);
}

void order_issuer::addMessages(std::vector<order_action>& actions, const lease_view& held, time_point now)
{
    for (auto& [runner, stored] : m_orders) {
        const auto agent = m_agentIncarnations.find(runner);
        const bool isDue = stored.order.status == order_status::Pending && stored.order.number == held.number
            && now >= stored.nextMessageAt;
        if (agent == m_agentIncarnations.end() || !isDue)
            continue;
        stored.nextMessageAt = now + m_timing.messagePeriod;
        actions.emplace_back(order_message { stored.order, agent->second });
    }
}

std::vector<order_action> order_issuer::tick(const lease_view& held, time_point now)
{
    expireCall(now);
    std::vector<order_action> actions;
    if (!held.canAct || held.number != m_fencingNumber)
        onLeaseLost();
    m_fencingNumber = held.number;
    if (held.canAct) {
        if (!m_call) {
            if (auto call = nextCall(held, now))
                actions.emplace_back(std::move(*call));
        }
        if (m_isSynced)
            addMessages(actions, held, now);
    }
    for (log_action& line : m_log)
        actions.emplace_back(std::move(line));
    m_log.clear();
    return actions;
}

void order_issuer::addPage(const table_answer& answer, time_point now)
{
    for (const table_row& row : answer.rows) {
        m_nextPageKey = row.key + "!";
        const auto order = parseOrder(row);
        if (!order) {
            log("ignored row " + row.key + ": not a valid order");
            continue;
        }
        stored_order& stored = m_readOrders[order->runner];
        if (stored.order.sequence <= order->sequence)
            stored = { *order, row.revision, time_point::min() };
    }
    if (answer.rows.size() < rowsPerPage)
        finishRead();
    else
        m_nextCallAt = now;
}

void order_issuer::finishRead()
{
    for (auto& [runner, stored] : m_readOrders) {
        const auto known = m_orders.find(runner);
        if (known == m_orders.end() || known->second.order.sequence != stored.order.sequence)
            continue;
        stored.nextMessageAt = known->second.nextMessageAt;
        if (known->second.order.status != stored.order.status)
            log(describe(stored.order) + (stored.order.status == order_status::Done ? " is done" : " was refused"));
    }
    m_orders = std::exchange(m_readOrders, {});
    m_nextPageKey = orderKeysFrom;
    m_isSynced = true;
    std::erase_if(m_queuedCommands, [&](const auto& entry) {
        const auto stored = m_orders.find(entry.first);
        return stored != m_orders.end() && stored->second.order.id == entry.second.id;
    });
}

void order_issuer::onTableResult(const table_answer& answer, time_point now)
{
    if (!m_call || answer.call != m_call->id)
        return;
    if (answer.outcome == table_outcome::Unavailable) {
        m_call.reset();
        m_nextCallAt = now + m_timing.readPeriod;
        return;
    }
    const open_call call = *m_call;
    if (answer.outcome == table_outcome::Unknown) {
        restartRead();
        return;
    }
    m_call.reset();
    if (answer.outcome == table_outcome::Conflict) {
        m_isSynced = false;
        m_nextCallAt = now + m_timing.messagePeriod / 10;
        return;
    }
    if (!call.leaseRevision) {
        addPage(answer, now);
        return;
    }
    m_orders[call.order.runner] = { call.order, answer.revision, time_point::min() };
    m_queuedCommands.erase(call.order.runner);
    log("issued " + describe(call.order));
}

}
