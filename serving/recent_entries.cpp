#include "serving/recent_entries.h"

namespace sardinelb {

namespace {

// Longer than the links between entries are usually cut.
constexpr duration retention = std::chrono::minutes(10);

// Heartbeats come twice a second, and some are lost.
constexpr duration settleTime = std::chrono::seconds(5);

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
    const bool isAlone = m_lastSeenAt.size() <= 1;
    return m_startedAt && !isAlone && now - *m_startedAt >= settleTime;
}

}
