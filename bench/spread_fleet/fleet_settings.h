#pragma once

#include "coordination/spread/config_spread_settings.h"
#include "state/ids.h"
#include "state/time.h"

#include <cstddef>
#include <vector>

namespace sardinelb {

// One availability zone of a simulated fleet.
struct fleet_zone {
    availability_zone_id zone;
    region_id region;
    std::size_t entries = 0;
    std::size_t agents = 0;
};

// Size of a simulated fleet and properties of the network between its daemons.
struct fleet_settings {
    std::vector<fleet_zone> zones;
    // Parameters of every daemon; name and zone are filled in.
    config_spread_settings spread;
    // Probability that a frame is lost.
    double loss = 0;
    // One-way latency of a frame is uniform between these bounds.
    duration minLatency = std::chrono::microseconds(300);
    duration maxLatency = std::chrono::milliseconds(3);
    duration tableLatency = std::chrono::milliseconds(5);
    // Number of agents with which an entry exchanges one frame per second in each direction.
    std::size_t linksPerEntry = 20;
    // Whether frames between entries and agents carry the sender's version.
    bool framesCarryVersions = true;
    // Whether an operator pushes a change to all entries, or to the first one only.
    bool pushToAllEntries = true;
};

}
