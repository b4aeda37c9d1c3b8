#include "serving/recent_entries.h"

namespace sardinelb {

namespace {

// Longer than the links between entries are usually cut.
constexpr duration retention = std::chrono::minutes(10);

// Heartbeats come twice a second, and some are lost.
constexpr duration settleTime = std::chrono::seconds(5);

// An entry that hears of no other one is taken to be cut off for this long, and then to be the only one.
constexpr duration loneSettleTime = std::chrono::seconds(60);

}

void recent_entries::onLiveEntries(const std::vector<std::string>& addresses, time_point now)
{
    if (!m_startedAt)
        m_startedAt = now;
    for (const std::string& address : addresses)
        m_lastSeenAt[address] = now;
    std::erase_if(m_lastSeenAt, [&](const auto& entry) { return now - entry.second > retention; });
}

std::vector<std::string> recent_entries::addresses() const
{
    std::vector<std::string> all;
    for (const auto& [address, lastSeenAt] : m_lastSeenAt)
        all.push_back(address);
    return all;
}

bool recent_entries::isSettled(time_point now) const
{
    return m_startedAt && now - *m_startedAt >= (m_lastSeenAt.size() > 1 ? settleTime : loneSettleTime);
}

}
