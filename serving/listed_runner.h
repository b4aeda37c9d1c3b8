#pragma once

#include "state/ids.h"
#include "state/time.h"

#include <cstdint>
#include <string>

namespace sardinelb {

// A runner as registered in the platform's store.
struct listed_runner {
    runner_id id;
    pool_id pool;
    // IP address and port.
    std::string address;
    availability_zone_id zone;
    std::uint32_t slots = 1;
    // A draining runner finishes its requests and gets no new ones.
    bool isDraining = false;
    // Start time of the runner's process in Unix ms. 0 if unknown.
    std::uint64_t startedAtMs = 0;
    // Number of the runner's report that this entry is from. Later reports of one process have higher numbers.
    std::uint64_t reportNumber = 0;
    // How much longer the runner was cold when it wrote the entry.
    duration coldTimeLeft {};

    friend bool operator==(const listed_runner&, const listed_runner&) = default;
};

// Names the runner's process. The same at all entries.
runner_process_id processOf(const listed_runner&);

}
