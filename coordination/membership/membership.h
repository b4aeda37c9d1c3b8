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

// Combines the platform's lagging instance list with direct evidence: received frames, refused connections and draining
// flags. Leaving takes precedence over Live, whichever source reports it. Silence alone never removes a daemon: it is
// kept as long as the list names it, and probed at bounded, jittered intervals. Pure state machine; not thread-safe.
class membership {
public:
    membership(membership_settings, std::uint64_t seed);

    // Handles a successful read of the instance list. Do not call it when the read failed: daemons that are missing in
    // the list become unlisted.
    void onInstanceListRead(const std::vector<listed_instance>&, time_point now);

    // Starts or stops expecting frames from the daemon, as a connection to it is kept or was given up.
    void watch(const daemon_id&, time_point now);
    void unwatch(const daemon_id&);

    // Handles a frame of the daemon with its draining flag. Frames of older incarnations are ignored. A daemon that the
    // list does not name yet is added with the zone and address of `sender`.
    void onFrameReceived(const listed_instance& sender, incarnation, bool isDraining, time_point now);

    // Handles a refused connection to the daemon's address: no process listens there.
    void onConnectionRefused(const daemon_id&, time_point now);

    // Updates all states. Returns the daemons to probe now with a connection attempt. Call about once per second.
    std::vector<member_view> tick(time_point now);

    // All known daemons, ordered by name. States are those of the last tick or of later evidence.
    std::vector<member_view> members() const;

    // Empty if the daemon is not known.
    std::optional<member_state> stateOf(const daemon_id&) const;

    // Whether most watched daemons of the zone are silent at the same time.
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
        // Time of the last frame or of the start of the watch, whichever is later.
        time_point lastHeard;
        time_point lastListed;
        time_point nextProbe;
        duration probeBackoff {};
        member_state state = member_state::Listed;
    };

    // Watched daemons of a zone without a refused connection, and how many of them are silent.
    struct zone_count {
        int watched = 0;
        int silent = 0;
    };

    member_state evaluateState(const member&, time_point now) const;
    bool isSilent(const member&, time_point now) const;
    void updatePartitions(time_point now);
    void removeExpired(time_point now);
    bool needsProbe(const member&, time_point now) const;
    bool hasProbeBudget(time_point now);
    void scheduleProbe(member&, time_point now);
    duration jitterUpTo(duration);
    static member_view viewOf(const member&);

    membership_settings m_settings;
    std::mt19937_64 m_random;
    std::map<daemon_id, member> m_members;
    std::set<availability_zone_id> m_partitioned;
    // Daemon that was probed last. The next tick continues after it, so that the limit on probes starves no daemon.
    daemon_id m_probeCursor;
    time_point m_probeWindowStart;
    int m_probesInWindow = 0;
};

}
