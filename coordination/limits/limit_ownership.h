#pragma once

#include "state/ids.h"

#include <vector>

namespace sardinelb {

struct limit_shard;

// Returns the daemon that owns the shard: the live daemon with the highest rendezvous hash. When a daemon joins or
// leaves, only the shards that it owns change their owner. Returns an empty id if no daemon is live.
daemon_id ownerOf(const limit_shard&, const std::vector<daemon_id>& live);

// Owner of the first shard, which is the only one for most teams.
daemon_id ownerOf(const team_id&, const std::vector<daemon_id>& live);

}
