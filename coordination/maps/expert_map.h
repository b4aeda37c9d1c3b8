#pragma once

#include "state/ids.h"

#include <vector>

namespace sardinelb {

// Placement of the experts of a rank group: which ranks hold replicas of each expert, and how the expert's traffic is
// divided among them. Immutable once it is proposed.
struct expert_map {
    // A copy of an expert's weights on one rank.
    struct replica {
        rank_id rank;
        // Fraction of the expert's traffic that is routed to this replica, 0 to 1. A replica with share 0 is a spare.
        double share = 0;

        friend bool operator==(const replica&, const replica&) = default;
    };

    // 0 until the map is proposed.
    map_version version;
    // Replicas by expert number, sorted by rank. Every expert has at least one, and its shares sum to 1.
    std::vector<std::vector<replica>> experts;

    friend bool operator==(const expert_map&, const expert_map&) = default;
};

}
