#pragma once

#include "state/table_transaction.h"

#include <cstdint>
#include <string>

namespace sardinelb {

// Request to the table service, issued by a state machine of the map switch. The owner must report the result of every
// request, including timeouts.
struct map_table_request {
    enum class kind {
        // Answered by onRowsRead().
        ReadRange,
        // Answered by onWriteResult().
        Transact,
    };

    // Passed back with the result. Increases with every request of a state machine.
    std::uint64_t id = 0;
    kind access = kind::ReadRange;
    // Only for ReadRange: returns at most `limit` rows with `from` <= key < `to`.
    std::string from;
    std::string to;
    int limit = 0;
    // Only for Transact.
    table_transaction transaction;
};

}
