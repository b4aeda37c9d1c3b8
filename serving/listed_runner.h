#pragma once

#include "state/ids.h"

#include <cstdint>
#include <string>

namespace sardinelb {

// A runner as the platform lists it.
struct listed_runner {
    runner_id id;
    pool_id pool;
    // IP number and port.
    std::string address;
    availability_zone_id zone;
    std::uint32_t slots = 1;
    // A draining runner finishes its work and gets no more.
    bool isDraining = false;
    // Start of the runner's process in Unix ms. 0 if it is not known.
    std::uint64_t startedAtMs = 0;

    friend bool operator==(const listed_runner&, const listed_runner&) = default;
};

}
