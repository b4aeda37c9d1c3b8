#pragma once

#include "coordination/membership/listed_instance.h"
#include "coordination/membership/member_view.h"
#include "coordination/membership/membership_settings.h"
#include "state/ids.h"
#include "state/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace sardinelb {

// Joins the platform's lagging instance list with direct evidence: frames heard, refused connections and draining
// flags. Leaving takes precedence over live, whichever source says so. Silence alone never removes a daemon: it stays
// as long as the list names it, and is probed at bounded, jittered intervals. Pure state machine; not safe for use
// from several threads.
class membership {
public:
    membership(membership_settings, std::uint64_t seed);

    // Takes a successful read of the list. Do not call it when the list could not be read.
    void listRead(const std::vector<listed_instance>&, time_point now);

    // Notes that frames are expected from the daemon, or no longer, because a connection is kept or was given up.
    void watch(const daemon_id&, time_point now);
    void unwatch(const daemon_id&);

    // Notes a frame of the daemon with its draining flag. A frame of an older incarnation is ignored. A daemon that
    // the list does not name yet becomes known with the zone and address given.
    void heard(const listed_instance& sender, incarnation, bool isDraining, time_point now);

    // Notes that the daemon's address refused a connection: nothing listens there.
    void connectionRefused(const daemon_id&, time_point now);

    // Recomputes the states. Returns the daemons to probe now by trying to connect. Call about once a second.
    std::vector<member_view> tick(time_point now);

    // Daemons that are known, in order of their names. States are those of the last tick or later evidence.
    std::vector<member_view> members() const;

    // Nothing when the daemon is not known.
    std::optional<member_state> stateOf(const daemon_id&) const;

    // Whether most watched daemons of the zone are silent together.
    bool isPartitioned(const availability_zone_id&) const;

private:
    // All evidence about one daemon.
    struct member {
        listed_instance instance;
        bool isListed = false;
        bool isWatched = false;
        bool isDraining = false;
        bool isRefused = false;
        bool hasBeenHeard = false;
        incarnation lifetime;
        // Last sign of life or begin of the watch, whichever is later.
        time_point lastHeard;
        time_point lastNamed;
        time_point nextProbe;
        duration probePause {};
        member_state state = member_state::Listed;
    };

    // Watched daemons of a zone, and those of them that are silent without a refused connection.
    struct zone_count {
        int watched = 0;
        int silent = 0;
    };

    member_state judge(const member&, time_point now) const;
    bool isSilent(const member&, time_point now) const;
    void findPartitions(time_point now);
    void removeForgotten(time_point now);
    bool needsProbe(const member&, time_point now) const;
    bool mayProbe(time_point now);
    void scheduleProbe(member&, time_point now);
    duration jitterUpTo(duration);
    static member_view viewOf(const member&);

    membership_settings m_settings;
    std::mt19937_64 m_random;
    std::map<daemon_id, member> m_members;
    std::set<availability_zone_id> m_partitioned;
    // Where the next round of probes begins, so that a bound on their number starves no daemon.
    daemon_id m_probeCursor;
    time_point m_probeWindow;
    int m_probes = 0;
};

}
