#pragma once

#include "state/ids.h"

#include <compare>

namespace sardinelb {

// State of the platform's store. A restore from a copy begins a new epoch, in which lower revisions are newer than all of the epoch before.
struct store_revision {
    store_epoch epoch;
    row_revision revision;

    friend auto operator<=>(const store_revision&, const store_revision&) = default;
};

}
