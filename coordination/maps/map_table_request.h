#pragma once

#include "state/table_transaction.h"

#include <cstdint>
#include <string>

namespace sardinelb {

// Access to the table service that a state machine of the expert map asks for. The owner reports every result, also
// that of a call that timed out.
struct map_table_request {
    enum class kind {
        // Answered by onRowsRead().
        ReadRange,
        // Answered by onWriteResult().
        Transact,
    };

    // Repeated in the answer. Rises with every request of one state machine.
    std::uint64_t id = 0;
    kind access = kind::ReadRange;
    // ReadRange: rows with `from` <= key < `to`, at most `limit`.
    std::string from;
    std::string to;
    int limit = 0;
    // Transact.
    table_transaction transaction;
};

}
