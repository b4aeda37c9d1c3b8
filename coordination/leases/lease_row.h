#pragma once

#include "state/ids.h"
#include "state/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sardinelb {

// Value of the row of a lease.
struct lease_row {
    // Empty after the holder released the lease.
    daemon_id holder;
    incarnation lifetime;
    fencing_number number;
    // Counts the writes of one lifetime of a daemon, so that it recognizes each of its writes when it reads it back.
    std::uint64_t write = 0;
    duration validity {};
};

// Text of the row, a JSON object.
std::string toText(const lease_row&);

// Nothing when the text is not that of a lease row.
std::optional<lease_row> parseLeaseRow(const std::string& text);

}
