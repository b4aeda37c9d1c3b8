#pragma once

#include "coordination/maps/expert_map.h"
#include "state/ids.h"

#include <memory>

namespace sardinelb {

// Asks a rank to load the weights of a proposed expert map. Sent only after the proposal has been written to the table,
// and repeated until the rank answers.
struct map_prepare_message {
    group_id group;
    // Receiver.
    rank_id rank;
    // Sender, and its fencing number.
    daemon_id coordinator;
    fencing_number fencing;
    step_number firstStep;
    std::shared_ptr<const expert_map> map;
};

}
