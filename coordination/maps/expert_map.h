#pragma once

#include "state/ids.h"

#include <vector>

namespace sardinelb {

// Where the experts of a rank group are held, and how the traffic of each expert is divided. A map is a value.
struct expert_map {
    // One copy of an expert's weights.
    struct replica {
        rank_id rank;
        // Part of the expert's traffic that goes to this replica, 0 to 1. A replica with share 0 is held in reserve.
        double share = 0;

        friend bool operator==(const replica&, const replica&) = default;
    };

    // 0 means that the map has not been proposed.
    map_version version;
    // Replicas by expert number, in order of rank. Every expert has at least one, and its shares sum to 1.
    std::vector<std::vector<replica>> experts;

    friend bool operator==(const expert_map&, const expert_map&) = default;
};

}
