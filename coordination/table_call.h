#pragma once

#include "state/table_transaction.h"

#include <cstdint>
#include <string>
#include <variant>

namespace sardinelb {

// Reads the rows with `from` <= key < `to`.
struct table_read {
    std::string from;
    std::string to;
    int limit = 1;
};

// Requests one call to the table service. Exactly one table_answer with this id is expected; after a timeout, a missing
// answer counts as an unknown outcome.
struct table_call {
    std::uint64_t id = 0;
    std::variant<table_read, table_transaction> request;
};

}
