#pragma once

#include "state/ids.h"

#include <cstdint>
#include <vector>

namespace sardinelb {

// Number of tokens that a rank has routed to each expert since its incarnation started. The counts are cumulative, so
// lost or duplicated reports do no harm.
struct popularity_report {
    rank_id rank;
    incarnation rankIncarnation;
    // By expert number.
    std::vector<std::uint64_t> tokens;
};

}
