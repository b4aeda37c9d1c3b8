#include "coordination/membership/daemon_list_change.h"

#include "coordination/limits/limit_ownership.h"
#include "coordination/limits/limit_shard.h"

#include <algorithm>
#include <iterator>

namespace sardinelb {

namespace {

std::vector<daemon_id> sorted(std::vector<daemon_id> daemons)
{
    std::sort(daemons.begin(), daemons.end());
    return daemons;
}

std::vector<daemon_id> difference(const std::vector<daemon_id>& left, const std::vector<daemon_id>& right)
{
    std::vector<daemon_id> rest;
    std::set_difference(left.begin(), left.end(), right.begin(), right.end(), std::back_inserter(rest));
    return rest;
}

}

daemon_list_change changeBetween(const std::vector<daemon_id>& before, const std::vector<daemon_id>& after)
{
    const std::vector<daemon_id> sortedBefore = sorted(before);
    const std::vector<daemon_id> sortedAfter = sorted(after);
    return { difference(sortedAfter, sortedBefore), difference(sortedBefore, sortedAfter) };
}

bool changesOwner(const daemon_list_change& change, const limit_shard& shard, const daemon_id& owner)
{
    if (owner.value().empty() || std::binary_search(change.removed.begin(), change.removed.end(), owner))
        return true;
    if (change.added.empty())
        return false;
    std::vector<daemon_id> candidates = change.added;
    candidates.push_back(owner);
    return ownerOf(shard, candidates) != owner;
}

}
