#pragma once

#include "serving/follower_share.h"
#include "serving/listed_runner.h"
#include "serving/runner_limit.h"
#include "state/ids.h"
#include "state/time.h"

#include <cstdint>
#include <optional>

namespace sardinelb {

// One entry's state for a runner.
struct runner_record {
    // The last load report of the runner.
    struct load_sample {
        std::uint32_t total = 0;
        // Those of them that the runner is running.
        std::uint32_t running = 0;
        // This entry's requests in flight when the report arrived.
        std::uint32_t own = 0;
        // Requests that this entry has sent since.
        std::uint32_t sentSince = 0;
        time_point at;
        double pace = 1;
        bool isGroupOpen = true;
    };

    listed_runner listing;
    // Whether this entry follows the runner's load. See runner_followers.h.
    bool isFollowed = true;
    // This entry's part of the demand for the runner. Nothing until the shares of all entries are known.
    std::optional<follower_share> share;
    // When the process first appeared in the list.
    time_point listedAt;
    // This entry's requests in flight.
    std::uint32_t inFlight = 0;
    std::optional<load_sample> load;
    group_id group;
    rank_id rank;
    // What the runner takes from all entries, and this entry's part.
    runner_limit limit;
    // Moving average of the fraction of attempts that failed.
    double failureRate = 0;
    // Moving average of the response time of a runner without an engine profile. 0 before the first response.
    double responseMs = 0;
    std::uint32_t consecutiveFailures = 0;
    // Whether another process listens on the address.
    bool isReplaced = false;
    // Whether the process has said that it leaves, to this entry or another one.
    bool isLeaving = false;
    // The runner wants nothing from this entry before.
    time_point pausedUntil;
    // End of the backoff after failed attempts; no requests are sent before.
    time_point backoffUntil;

    // Whether the last load report is recent enough to be used.
    bool hasRecentLoad(time_point now) const;

    // Estimated number of requests on the runner from all entries.
    std::uint32_t estimatedLoad(time_point now) const;
};

}
