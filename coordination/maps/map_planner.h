#pragma once

#include "coordination/coordination_error.h"
#include "coordination/maps/map_plan.h"
#include "coordination/maps/map_plan_request.h"
#include "coordination/maps/map_planner_settings.h"

#include <optional>

namespace sardinelb {

// Plans expert maps that divide the load among the ranks by speed and move few weights. Dividing the traffic of an
// expert anew among its replicas moves none, so that comes first; replicas are added, each in place of a less useful
// one, only as long as that does not suffice.
class map_planner {
public:
    explicit map_planner(map_planner_settings);

    // Returns a better map, or nothing when the current one is good enough or cannot be improved enough within the
    // budget. Error Invalid: the experts do not fit into the slots, a speed or popularity is out of range, or the
    // current map does not match. `subject` names the offending input.
    coordination_result<std::optional<map_plan>> plan(const map_plan_request&) const;

private:
    bool isOutOfDate(const map_plan_request&) const;

    map_planner_settings m_settings;
};

}
