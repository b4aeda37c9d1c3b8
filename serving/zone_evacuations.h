#pragma once

#include "serving/zone_evacuation_view.h"

#include <map>
#include <optional>
#include <unordered_set>
#include <vector>

namespace sardinelb {

// The availability zones whose runners must get no new requests, as the operator states them in the store. Handles an entry that the
// store refuses or that has just started, and statements that arrive late, repeatedly or out of order: a view that is complete as of
// a newer revision replaces an older one, wherever it comes from. Pure state machine; time is passed in.
class zone_evacuations {
public:
    // A row of the operator that was written or removed.
    struct change {
        availability_zone_id zone;
        row_revision revision;
        bool isRemoved = false;
    };

    // Takes all rows of the store as of a revision. Rows of an older view than the known one are ignored. Returns whether the
    // evacuated zones have changed; so do the functions below.
    bool onSnapshot(const std::vector<change>& rows, store_revision asOf, time_point now);

    // Takes the view of another entry.
    bool onView(const zone_evacuation_view&, time_point now);

    // Takes all changes in the store after the revision `base`, up to `asOf`.
    bool onChanges(const std::vector<change>&, store_revision base, store_revision asOf, time_point now);

    // Whether changes after `base` can be added to the known view without missing any.
    bool isCompleteUpTo(store_revision base) const { return base <= m_asOf; }

    // Removes zones that a restored store has lost and that the operator has not named again in time.
    bool removeExpired(time_point now);

    bool isEvacuated(const availability_zone_id& zone) const { return m_zones.contains(zone); }
    std::unordered_set<availability_zone_id> zones() const;

    // For the other entries.
    zone_evacuation_view view(time_point now) const;

private:
    struct evacuation {
        store_revision writtenAt;
        // Set while a restored store lacks the row.
        std::optional<time_point> endsAt;
    };

    using evacuation_map = std::map<availability_zone_id, evacuation>;

    // Replaces the view. Zones that only an older epoch of the store has are kept for a while.
    bool replace(evacuation_map, store_revision asOf, time_point now);

    store_revision m_asOf;
    evacuation_map m_zones;
};

}
