#pragma once

#include "state/ids.h"

#include <cstdint>
#include <vector>

namespace sardinelb {

// Tokens that one rank has sent to each expert since its incarnation began. Because the counts are cumulative, a report
// that is lost or arrives twice does no harm.
struct popularity_report {
    rank_id rank;
    incarnation rankIncarnation;
    // By expert number.
    std::vector<std::uint64_t> tokens;
};

}
