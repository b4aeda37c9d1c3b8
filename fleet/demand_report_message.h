#pragma once

#include "expert_map/demand_accumulator.h"
#include "state/ids.h"

#include <cstdint>

namespace sardinelb {

// From an agent to the agent that collects its demand: how often its ranks chose each expert since the last report.
struct demand_report_message {
    group_id group;
    std::uint64_t epoch = 0;
    scaled_choices choices;
};

}
