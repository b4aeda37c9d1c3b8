#pragma once

#include "state/table_service.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace sardinelb {

// What an in-memory table does with one call.
enum class table_fault {
    None,
    // Fails as Unavailable without any effect.
    Down,
    // Takes effect, and the caller gets OutcomeUnknown; reads fail as Unavailable.
    AnswerLost,
    // The caller gets OutcomeUnknown; the write is evaluated before a later call. Reads fail as Unavailable.
    Delayed,
};

// Kind of a call to the table service.
enum class table_operation {
    Transact,
    ReadRow,
    ReadRange,
    PutObject,
    ReadObject,
};

// Table and object store in memory with injectable faults, for tests and examples. It must outlive its hooks. Not safe
// for use from several threads.
class memory_table {
public:
    // Chooses the fault of each call. It may call the table itself, as another writer would.
    using fault_injector = std::function<table_fault(table_operation)>;

    // Hooks that call this table; the fault chooser given here applies to these hooks only.
    table_service hooks(const fault_injector& = {});

    // While down, every call fails as Unavailable.
    void setDown(bool down) { m_down = down; }

    // Lets the delayed writes take effect now.
    void deliverDelayed();

    // Number of calls that arrived, including failed ones.
    std::uint64_t calls(table_operation) const;

    const std::map<std::string, table_row>& rows() const { return m_rows; }

private:
    table_fault begin(table_operation, const fault_injector&);
    state_result<row_revision> transact(const table_transaction&, table_fault);
    state_result<row_revision> execute(const table_transaction&);

    bool m_down = false;
    std::uint64_t m_lastRevision = 0;
    std::map<std::string, table_row> m_rows;
    std::map<std::string, std::string> m_objects;
    std::vector<table_transaction> m_delayed;
    std::map<table_operation, std::uint64_t> m_calls;
};

}
