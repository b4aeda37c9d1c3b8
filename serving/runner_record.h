#pragma once

#include "serving/listed_runner.h"
#include "state/ids.h"
#include "state/time.h"

#include <cstdint>
#include <optional>

namespace sardinelb {

// What one entry knows of a runner.
struct runner_record {
    // The last report of the runner's load.
    struct load_sample {
        std::uint32_t total = 0;
        // Requests of this entry that were in flight when the report arrived.
        std::uint32_t own = 0;
        time_point at;
        double pace = 1;
        bool isGroupOpen = true;
    };

    listed_runner listing;
    // When this entry first saw the process in the list.
    time_point listedAt;
    // Requests of this entry in flight.
    std::uint32_t inFlight = 0;
    std::optional<load_sample> load;
    group_id group;
    rank_id rank;
    // Part of recent attempts that failed, smoothed.
    double failureRate = 0;
    // Usual time to the first part of an answer, smoothed, in ms. 0 until one has arrived.
    double responseMs = 0;
    std::uint32_t consecutiveFailures = 0;
    // Whether another runner answers at the address.
    bool isReplaced = false;
    // No work before this time, because attempts failed.
    time_point backoffUntil;

    // Whether the last report is recent enough to say something about the present.
    bool hasRecentLoad(time_point now) const;

    // Requests that the runner has from all entries, as far as is known.
    std::uint32_t estimatedLoad(time_point now) const;
};

}
