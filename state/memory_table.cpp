#include "state/memory_table.h"

namespace sardinelb {

namespace {

state_error unavailable() { return { state_errc::Unavailable, "table service", "it is down" }; }

state_error outcomeUnknown() { return { state_errc::OutcomeUnknown, "table service", "no answer arrived" }; }

}

table_fault memory_table::begin(table_operation operation, const fault_injector& choose)
{
    ++m_calls[operation];
    const table_fault fault = choose ? choose(operation) : table_fault::None;
    if (m_down)
        return table_fault::Down;
    if (fault == table_fault::None)
        deliverDelayed();
    return fault;
}

state_result<row_revision> memory_table::execute(const table_transaction& transaction)
{
    for (const auto& condition : transaction.conditions) {
        const auto row = m_rows.find(condition.key);
        const row_revision found = row == m_rows.end() ? row_revision() : row->second.revision;
        if (found != condition.revision)
            return state_error { state_errc::Conflict, condition.key, row == m_rows.end() ? "" : row->second.value };
    }
    const row_revision revision(++m_lastRevision);
    for (const auto& [key, value] : transaction.puts)
        m_rows.insert_or_assign(key, table_row { key, value, revision });
    for (const std::string& key : transaction.deletes)
        m_rows.erase(key);
    return revision;
}

state_result<row_revision> memory_table::transact(const table_transaction& transaction, table_fault fault)
{
    switch (fault) {
    case table_fault::None:
        break;
    case table_fault::Down:
        return unavailable();
    case table_fault::AnswerLost:
        static_cast<void>(execute(transaction));
        return outcomeUnknown();
    case table_fault::Delayed:
        m_delayed.push_back(transaction);
        return outcomeUnknown();
    }
    return execute(transaction);
}

void memory_table::deliverDelayed()
{
    for (const table_transaction& transaction : m_delayed)
        static_cast<void>(execute(transaction));
    m_delayed.clear();
}

std::uint64_t memory_table::calls(table_operation operation) const
{
    const auto found = m_calls.find(operation);
    return found == m_calls.end() ? 0 : found->second;
}

table_service memory_table::hooks(const fault_injector& choose)
{
    table_service service;
    service.transact = [this, choose](const table_transaction& transaction) {
        const table_fault fault = begin(table_operation::Transact, choose);
        return transact(transaction, fault);
    };
    service.readRow = [this, choose](const std::string& key) -> state_result<std::optional<table_row>> {
        if (begin(table_operation::ReadRow, choose) != table_fault::None)
            return unavailable();
        const auto row = m_rows.find(key);
        return row == m_rows.end() ? std::nullopt : std::optional(row->second);
    };
    service.readRange = [this, choose](const std::string& from, const std::string& to,
                            int limit) -> state_result<std::vector<table_row>> {
        if (begin(table_operation::ReadRange, choose) != table_fault::None)
            return unavailable();
        std::vector<table_row> found;
        for (auto row = m_rows.lower_bound(from); row != m_rows.end() && row->first < to; ++row) {
            if (found.size() == static_cast<std::size_t>(limit))
                break;
            found.push_back(row->second);
        }
        return found;
    };
    service.putObject = [this, choose](const std::string& key, const std::string& value) -> state_result<bool> {
        const table_fault fault = begin(table_operation::PutObject, choose);
        if (fault == table_fault::Down)
            return unavailable();
        if (fault != table_fault::Delayed)
            m_objects.insert_or_assign(key, value);
        if (fault != table_fault::None)
            return outcomeUnknown();
        return true;
    };
    service.readObject = [this, choose](const std::string& key) -> state_result<std::optional<std::string>> {
        if (begin(table_operation::ReadObject, choose) != table_fault::None)
            return unavailable();
        const auto object = m_objects.find(key);
        return object == m_objects.end() ? std::nullopt : std::optional(object->second);
    };
    return service;
}

}
