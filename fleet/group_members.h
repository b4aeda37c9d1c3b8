#pragma once

#include "state/ids.h"
#include "state/time.h"

#include <map>
#include <string>
#include <vector>

namespace sardinelb {

// What an agent knows of the other ranks of its runner's group, and which of them may coordinate the group's expert map: the two lowest
// ranks that entries have heard of lately. Pure state machine.
class group_members {
public:
    // `local` is the rank beside the agent that asks.
    struct local_rank {
        rank_id rank;
        availability_zone_id zone;
    };

    // An entry got a report of a rank `age` ago.
    void onCandidate(rank_id, const std::string& address, duration age, time_point now);

    // A report of a rank has arrived. The address is empty if it is unknown.
    void onReport(rank_id, const std::string& address, const availability_zone_id&, time_point now);

    void removeSilentCandidates(time_point now);

    // The ranks that get the reports of all others, lowest first.
    std::vector<rank_id> coordinatorCandidates(rank_id local) const;
    bool isCandidate(rank_id local) const;

    // Begins to wait for reports of the candidates, as if all had reported now.
    void startSilenceTimeout(rank_id local, time_point now);

    // Whether the local rank is a candidate and all lower candidates have been silent for long enough. Without heartbeats from an entry that
    // knows the group, the agent cannot tell.
    bool canCoordinate(rank_id local, time_point now) const;

    // Whether reports of a rank arrive.
    bool isReporting(rank_id, time_point now) const;

    // Address of a rank's runner; empty if it is unknown.
    std::string addressOf(rank_id) const;

    // The ranks that have reported and the local one, ordered by availability zone.
    std::vector<rank_id> ranksByZone(const local_rank&) const;

private:
    std::map<rank_id, time_point> m_candidates;
    // Also of ranks that are silent.
    std::map<rank_id, std::string> m_addresses;
    std::map<rank_id, availability_zone_id> m_zones;
    // When the last report of each rank arrived.
    std::map<rank_id, time_point> m_reportedAt;
};

}
