#pragma once

#include "coordination/maps/map_readiness.h"
#include "state/ids.h"

namespace sardinelb {

// Reply of a rank to a proposed expert map.
struct map_prepared_message {
    group_id group;
    // Receiver.
    daemon_id coordinator;
    // Sender, its incarnation, and the revision of the row that registers this incarnation.
    rank_id rank;
    incarnation rankIncarnation;
    row_revision registration;
    map_version version;
    map_readiness readiness = map_readiness::Refused;
    // Lowest step that the rank may still enter.
    step_number nextStep;
};

}
