#pragma once

#include "state/state_error.h"
#include "state/table_row.h"
#include "state/table_transaction.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace sardinelb {

// In-memory fake of the table service with conditional transactions. Keeps a log of all rows ever written.
class memory_table {
public:
    state_result<row_revision> transact(const table_transaction& transaction)
    {
        for (const auto& condition : transaction.conditions)
            if (revisionOf(condition.key) != condition.revision)
                return state_error { state_errc::Conflict, condition.key, valueOf(condition.key) };
        m_revision = row_revision(m_revision.value() + 1);
        for (const auto& [key, value] : transaction.puts) {
            m_rows[key] = { key, value, m_revision };
            m_log.push_back(m_rows[key]);
        }
        for (const std::string& key : transaction.deletes)
            m_rows.erase(key);
        return m_revision;
    }

    std::vector<table_row> readRange(const std::string& from, const std::string& to, int limit) const
    {
        std::vector<table_row> rows;
        for (auto row = m_rows.lower_bound(from); row != m_rows.end() && row->first < to; ++row)
            if (static_cast<int>(rows.size()) < limit)
                rows.push_back(row->second);
        return rows;
    }

    const std::vector<table_row>& log() const { return m_log; }

private:
    row_revision revisionOf(const std::string& key) const
    {
        const auto row = m_rows.find(key);
        return row == m_rows.end() ? row_revision() : row->second.revision;
    }

    std::string valueOf(const std::string& key) const
    {
        const auto row = m_rows.find(key);
        return row == m_rows.end() ? std::string() : row->second.value;
    }

    std::map<std::string, table_row> m_rows;
    std::vector<table_row> m_log;
    row_revision m_revision;
};

}
