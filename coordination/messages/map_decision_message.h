#pragma once

#include "coordination/maps/map_decision.h"
#include "state/ids.h"

namespace sardinelb {

// Tells a rank what was decided about a proposed expert map. Sent only after the decision is in the table.
struct map_decision_message {
    group_id group;
    // Receiver.
    rank_id rank;
    map_decision decision;
};

}
