#pragma once

#include "coordination/maps/map_decision.h"
#include "state/ids.h"

namespace sardinelb {

// Tells a rank the decision about a proposed expert map. Sent only after the decision has been written to the table.
struct map_decision_message {
    group_id group;
    // Receiver.
    rank_id rank;
    map_decision decision;
};

}
