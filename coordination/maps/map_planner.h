#pragma once

#include "coordination/coordination_error.h"
#include "coordination/maps/map_plan.h"
#include "coordination/maps/map_plan_request.h"
#include "coordination/maps/map_planner_settings.h"

#include <optional>

namespace sardinelb {

// Plans expert maps that divide the load among the ranks in proportion to speed and move few weights. Changing the
// shares of existing replicas moves no weights, so the planner does this first. Only if that does not suffice does it
// add replicas, each in place of a less useful one.
class map_planner {
public:
    explicit map_planner(map_planner_settings);

    // Returns a better map, or nothing if the current one is good enough or cannot be improved enough within the move
    // budget. Error Invalid: the experts do not fit into the slots, a speed or popularity is out of range, or the
    // current map is for other experts or ranks. `subject` names the invalid input.
    coordination_result<std::optional<map_plan>> plan(const map_plan_request&) const;

private:
    bool isOutOfDate(const map_plan_request&) const;

    map_planner_settings m_settings;
};

}
