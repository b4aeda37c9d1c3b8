#pragma once

#include "state/time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sardinelb {

// The entries that may be sending to the same runners. An entry that has just started, or whose links to the others are cut, hears of
// fewer than there are, so each one counts for a long time after it was last heard of. Entries that start while some of them are cut off
// from the rest count only those they can hear. Pure state machine; time is passed in.
class recent_entries {
public:
    // Sets the addresses of all entries that are known to be alive, including this one. Call with each heartbeat.
    void onLiveEntries(const std::vector<std::string>& addresses, time_point now);

    // Addresses of the entries that count, including this one, in ascending order.
    std::vector<std::string> addresses() const;

    // Whether this entry has had the time to hear of the others. Never while it has heard of none, because it cannot tell whether it is
    // the only one or cut off.
    bool isSettled(time_point now) const;

private:
    std::map<std::string, time_point> m_lastSeenAt;
    std::optional<time_point> m_startedAt;
};

}
