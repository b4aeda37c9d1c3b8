#pragma once

#include "state/ids.h"

#include <string>

namespace sardinelb {

// Snapshot of a lease for the code that acts under it.
struct lease_view {
    // Whether this daemon holds the lease.
    bool canAct = false;
    fencing_number number;
    // Key of the lease's row.
    std::string key;
    // Revision of the lease's row. It changes with each renewal.
    row_revision revision;
};

}
