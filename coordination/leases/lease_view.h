#pragma once

#include "state/ids.h"

#include <string>

namespace sardinelb {

// What a part that acts under a lease needs to know about it at one moment.
struct lease_view {
    bool mayAct = false;
    fencing_number number;
    std::string key;
    // Revision of the lease's row. It changes with each renewal.
    row_revision revision;
};

}
