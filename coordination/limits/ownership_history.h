#pragma once

#include "coordination/limits/limit_shard.h"
#include "coordination/membership/daemon_list_change.h"
#include "state/ids.h"
#include "state/time.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace sardinelb {

struct derived_limits;

// Remembers the recent lists of live daemons, and from them since when a daemon has owned a part of a team's limits.
class ownership_history {
public:
    // Lists that were replaced more than `horizon` ago are forgotten.
    explicit ownership_history(duration horizon)
        : m_horizon(horizon)
    {
    }

    // Returns the difference from the list before.
    daemon_list_change setDaemons(const std::vector<daemon_id>& live, time_point now);

    // Earliest time from which on the daemon has been the owner without a break, and the limits have been split into
    // as many parts as now, as far as the lists go back. Nothing when it is not the owner.
    std::optional<time_point> ownerSince(const daemon_id&, const limit_shard&, const derived_limits&) const;

    // Number of live daemons in the latest list.
    std::size_t daemonCount() const;

private:
    struct daemon_list {
        std::vector<daemon_id> live;
        time_point since;
    };

    duration m_horizon;
    std::deque<daemon_list> m_lists;
};

}
