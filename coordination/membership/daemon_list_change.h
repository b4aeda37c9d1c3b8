#pragma once

#include "state/ids.h"

#include <vector>

namespace sardinelb {

struct limit_shard;

// Difference between two lists of live daemons.
struct daemon_list_change {
    std::vector<daemon_id> added;
    std::vector<daemon_id> removed;
};

daemon_list_change changeBetween(const std::vector<daemon_id>& before, const std::vector<daemon_id>& after);

// Whether the shard that belonged to `owner` belongs to another daemon after the change. Much cheaper than ownerOf():
// only the added daemons are compared with the owner.
bool changesOwner(const daemon_list_change&, const limit_shard&, const daemon_id& owner);

}
