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

// Stores the recent lists of live daemons and derives from them since when a daemon has owned a shard.
class ownership_history {
public:
    // Lists that were replaced more than `horizon` ago are removed.
    explicit ownership_history(duration horizon)
        : m_horizon(horizon)
    {
    }

    // Returns the difference from the previous list.
    daemon_list_change setDaemons(const std::vector<daemon_id>& live, time_point now);

    // Earliest time since which the daemon has owned the shard without interruption and the number of shards has not
    // changed, as far as the lists go back. Empty if it is not the owner.
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
