#include "coordination/leases/order_executor.h"

#include "coordination/leases/order_row.h"

#include <utility>

namespace sardinelb {

namespace {

// Rows of one read. The table's own bound is 1000.
constexpr int rowsPerPage = 1000;

}

order_executor::order_executor(order_timing timing)
    : m_timing(timing)
    , m_pageFrom(orderKeysFrom)
{
}

void order_executor::log(std::string text) { m_log.push_back({ "order", request_id(), std::move(text) }); }

bool order_executor::isBusy(const runner_id& runner) const
{
    if (m_commands.contains(runner))
        return true;
    const auto found = m_orders.find(runner);
    return found != m_orders.end() && found->second.order.status == order_status::Pending;
}

std::optional<runner_order> order_executor::latest(const runner_id& runner) const
{
    const auto found = m_orders.find(runner);
    if (found == m_orders.end())
        return std::nullopt;
    return found->second.order;
}

bool order_executor::request(const order_command& command)
{
    if (!m_isSynced || isBusy(command.runner))
        return false;
    const auto found = m_orders.find(command.runner);
    if (found != m_orders.end() && found->second.order.id == command.id)
        return false;
    m_commands[command.runner] = command;
    log(std::string(toString(command.kind)) + " " + command.subject + " on " + command.runner.value() + ": "
        + command.reason);
    return true;
}

void order_executor::agentHeard(const runner_id& runner, incarnation lifetime)
{
    incarnation& known = m_agents[runner];
    known = std::max(known, lifetime);
}

void order_executor::giveUnknown()
{
    if (m_call && m_call->leaseRevision)
        m_blockedRevision = m_call->leaseRevision;
    m_call.reset();
    m_isSynced = false;
    m_pages.clear();
    m_pageFrom = orderKeysFrom;
}

void order_executor::loseLease()
{
    giveUnknown();
    m_commands.clear();
}

void order_executor::expireCall(time_point now)
{
    if (m_call && now - m_call->sentAt >= m_timing.answerTimeout)
        giveUnknown();
}

table_call order_executor::readCall(time_point now)
{
    m_call = open_call { ++m_lastCall, now, std::nullopt, {} };
    return { m_lastCall, table_read { m_pageFrom, orderKeysTo, rowsPerPage } };
}

table_call order_executor::writeCall(const runner_order& order, const lease_view& held, time_point now)
{
    m_call = open_call { ++m_lastCall, now, held.revision, order };
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
    return { m_lastCall, transaction };
}

std::optional<table_call> order_executor::adoption(const lease_view& held, time_point now)
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

std::optional<table_call> order_executor::insertion(const lease_view& held, time_point now)
{
    if (m_commands.empty())
        return std::nullopt;
    const order_command& command = m_commands.begin()->second;
    const auto stored = m_orders.find(command.runner);
    const std::uint64_t last = stored == m_orders.end() ? 0 : stored->second.order.sequence;
    return writeCall(
        { command.runner, last + 1, command.id, held.number, command.kind, command.subject, order_status::Pending },
        held, now);
}

std::optional<table_call> order_executor::nextCall(const lease_view& held, time_point now)
{
    if (m_blockedRevision == held.revision)
        return std::nullopt;
    m_blockedRevision.reset();
    if (now < m_nextCall)
        return std::nullopt;
    if (!m_isSynced)
        return readCall(now);
    if (auto call = adoption(held, now))
        return call;
    if (auto call = insertion(held, now))
        return call;
    // Finished orders show only in a read.
    m_nextCall = now + m_timing.readPeriod;
    return readCall(now);
}

void order_executor::addMessages(std::vector<order_action>& actions, const lease_view& held, time_point now)
{
    for (auto& [runner, stored] : m_orders) {
        const auto agent = m_agents.find(runner);
        const bool isDue = stored.order.status == order_status::Pending && stored.order.number == held.number
            && now >= stored.nextMessage;
        if (agent == m_agents.end() || !isDue)
            continue;
        stored.nextMessage = now + m_timing.messagePeriod;
        actions.emplace_back(order_message { stored.order, agent->second });
    }
}

std::vector<order_action> order_executor::tick(const lease_view& held, time_point now)
{
    expireCall(now);
    std::vector<order_action> actions;
    if (!held.mayAct || held.number != m_number)
        loseLease();
    m_number = held.number;
    if (held.mayAct) {
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

void order_executor::notePage(const table_answer& answer, time_point now)
{
    for (const table_row& row : answer.rows) {
        m_pageFrom = row.key + "!";
        const auto order = parseOrder(row);
        if (!order) {
            log("row " + row.key + " is not an order and is ignored");
            continue;
        }
        stored_order& stored = m_pages[order->runner];
        if (stored.order.sequence <= order->sequence)
            stored = { *order, row.revision, time_point::min() };
    }
    if (answer.rows.size() < rowsPerPage)
        noteRows();
    else
        m_nextCall = now;
}

void order_executor::noteRows()
{
    for (auto& [runner, stored] : m_pages) {
        const auto known = m_orders.find(runner);
        if (known == m_orders.end() || known->second.order.sequence != stored.order.sequence)
            continue;
        stored.nextMessage = known->second.nextMessage;
        if (known->second.order.status != stored.order.status)
            log(describe(stored.order) + (stored.order.status == order_status::Done ? " is done" : " was refused"));
    }
    m_orders = std::exchange(m_pages, {});
    m_pageFrom = orderKeysFrom;
    m_isSynced = true;
    std::erase_if(m_commands, [&](const auto& entry) {
        const auto stored = m_orders.find(entry.first);
        return stored != m_orders.end() && stored->second.order.id == entry.second.id;
    });
}

void order_executor::answered(const table_answer& answer, time_point now)
{
    if (!m_call || answer.call != m_call->id)
        return;
    if (answer.outcome == table_outcome::Unavailable) {
        m_call.reset();
        m_nextCall = now + m_timing.readPeriod;
        return;
    }
    const open_call call = *m_call;
    if (answer.outcome == table_outcome::Unknown) {
        giveUnknown();
        return;
    }
    m_call.reset();
    if (answer.outcome == table_outcome::Conflict) {
        m_isSynced = false;
        m_nextCall = now + m_timing.messagePeriod / 10;
        return;
    }
    if (!call.leaseRevision) {
        notePage(answer, now);
        return;
    }
    m_orders[call.order.runner] = { call.order, answer.revision, time_point::min() };
    m_commands.erase(call.order.runner);
    log("issued " + describe(call.order));
}

}
