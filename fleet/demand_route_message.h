#pragma once

#include "state/ids.h"
#include "state/time.h"

#include <cstdint>
#include <string>

namespace sardinelb {

// From a coordinator to an agent of its group: where and how often to send demand reports.
struct demand_route_message {
    group_id group;
    std::uint64_t epoch = 0;
    // IP address and port of the runner beside the collector.
    std::string collector;
    duration interval {};
};

}
