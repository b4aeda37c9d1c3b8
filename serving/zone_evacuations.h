#pragma once

#include "serving/zone_evacuation_view.h"

#include <cstddef>
#include <map>
#include <optional>
#include <unordered_set>
#include <vector>

namespace sardinelb {

// The availability zones whose runners must get no new requests, as the operator states them in the store. Handles an entry that the
// store refuses or that has just started, and statements that arrive late, repeatedly or out of order: of two statements about a zone
// the one with the newer revision wins, wherever it comes from. Pure state machine; time is passed in.
class zone_evacuations {
public:
    // A row of the operator that was written or removed.
    struct change {
        availability_zone_id zone;
        row_revision revision;
        bool isRemoved = false;
    };

    // Evacuated zones, and removals, that are kept at most. Heartbeats carry all of them in one datagram.
    static constexpr std::size_t maxZones = 32;

    // Takes all rows of the store as of a revision. Rows of an older view than the known one are ignored. Returns whether the
    // evacuated zones have changed; so do the functions below.
    bool onSnapshot(const std::vector<change>& rows, store_revision asOf, time_point now);

    // Takes the view of another entry.
    bool onView(const zone_evacuation_view&, time_point now);

    // Takes all changes in the store after the revision `base`, up to `asOf`.
    bool onChanges(const std::vector<change>&, store_revision base, store_revision asOf);

    // Whether changes after `base` can be added to the known view without missing any.
    bool isCompleteUpTo(store_revision base) const { return base <= m_asOf; }

    // Ends what is kept for a while after a restore of the store: zones whose rows it has lost, and doubts about rows that it has again.
    bool removeExpired(time_point now);

    bool isEvacuated(const availability_zone_id&) const;
    std::unordered_set<availability_zone_id> zones() const;

    // For the other entries.
    zone_evacuation_view view(time_point now) const;

private:
    // A zone whose row a restored store lacks.
    struct retained_zone {
        store_revision writtenAt;
        time_point endsAt;
    };

    struct removal {
        store_revision removedAt;
        row_revision row;
    };

    using row_map = std::map<availability_zone_id, store_revision>;

    // Takes all rows as of a revision that is newer than the known one.
    void replaceRows(const row_map&, store_revision asOf, time_point now);
    void addRow(const availability_zone_id&, store_revision writtenAt);
    void removeRow(const availability_zone_id&, const removal&);
    void addRetained(const zone_evacuation_view::zone_entry&, time_point now);

    // Whether the operator removed this row before a restore brought it back.
    bool isResurrected(const availability_zone_id&, store_revision writtenAt) const;

    store_revision m_asOf;
    // Rows of the store, including newer ones than m_asOf.
    row_map m_rows;
    std::map<availability_zone_id, retained_zone> m_retained;
    std::map<availability_zone_id, removal> m_removals;
    // Set when the epoch of the store becomes known.
    time_point m_retentionEndsAt;
};

}
