#pragma once

#include "state/ids.h"
#include "state/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sardinelb {

// Value of a lease's row in the table.
struct lease_row {
    // Empty after the holder has released the lease.
    daemon_id holder;
    // Incarnation of the holder's daemon.
    incarnation lifetime;
    // Rises each time a daemon acquires the lease.
    fencing_number number;
    // Counts the writes of one daemon incarnation, so that the daemon recognizes its own writes when it reads them back.
    std::uint64_t write = 0;
    // Time from a write until the lease ends.
    duration validity {};
};

// Value of the row as a JSON object.
std::string toText(const lease_row&);

// Nothing if the text is not a valid lease row.
std::optional<lease_row> parseLeaseRow(const std::string& text);

}
