#pragma once

#include "state/ids.h"
#include "state/table_row.h"

#include <cstdint>
#include <vector>

namespace sardinelb {

enum class table_outcome {
    Done,
    // A condition of the transaction did not hold.
    Conflict,
    // The table was unavailable; the call had no effect.
    Unavailable,
    // A write may have taken effect, or may still take effect.
    Unknown,
};

// Answer to a table_call.
struct table_answer {
    std::uint64_t call = 0;
    table_outcome outcome = table_outcome::Unknown;
    // Rows found by a read.
    std::vector<table_row> rows;
    // Revision of the rows that a transaction wrote.
    row_revision revision;
};

}
