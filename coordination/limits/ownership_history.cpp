#include "coordination/limits/ownership_history.h"

#include "coordination/limits/limit_ownership.h"
#include "coordination/limits/limit_share.h"

namespace sardinelb {

daemon_list_change ownership_history::setDaemons(const std::vector<daemon_id>& live, time_point now)
{
    // A list ends when its successor begins.
    while (m_lists.size() > 1 && m_lists[1].since + m_horizon < now)
        m_lists.pop_front();
    const std::vector<daemon_id> before = m_lists.empty() ? std::vector<daemon_id>() : m_lists.back().live;
    daemon_list_change change = changeBetween(before, live);
    if (!change.added.empty() || !change.removed.empty())
        m_lists.push_back({ live, now });
    return change;
}

std::optional<time_point> ownership_history::ownerSince(
    const daemon_id& daemon, const limit_shard& shard, const derived_limits& limits) const
{
    const std::uint32_t shards = shardCount(limits, daemonCount());
    std::optional<time_point> since;
    for (auto list = m_lists.rbegin(); list != m_lists.rend(); ++list) {
        if (shardCount(limits, list->live.size()) != shards || ownerOf(shard, list->live) != daemon)
            break;
        since = list->since;
    }
    return since;
}

std::size_t ownership_history::daemonCount() const
{
    return m_lists.empty() ? 0 : m_lists.back().live.size();
}
}
