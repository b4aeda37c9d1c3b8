#pragma once

#include "state/ids.h"
#include "state/store_revision.h"
#include "state/time.h"

#include <optional>
#include <vector>

namespace sardinelb {

// All availability zones that are evacuated, complete as of one revision of the store. Entries exchange it.
struct zone_evacuation_view {
    struct zone_entry {
        availability_zone_id zone;
        // Revision of the operator's row, in the epoch in which it was written.
        store_revision writtenAt;
        // Set for a zone whose row a restored store has lost: how much longer it counts as evacuated.
        std::optional<duration> timeLeft;

        friend bool operator==(const zone_entry&, const zone_entry&) = default;
    };

    // A row that the operator has removed. Outweighs what is known of the zone from an older epoch.
    struct removal {
        availability_zone_id zone;
        // Revision as of which the row is known to be gone.
        store_revision removedAt;
        // Revision of the row when it was last seen; 0 if it was not.
        row_revision row;

        friend bool operator==(const removal&, const removal&) = default;
    };

    // Revision 0 means that nothing is known.
    store_revision asOf;
    std::vector<zone_entry> zones;
    std::vector<removal> removals;

    friend bool operator==(const zone_evacuation_view&, const zone_evacuation_view&) = default;
};

}
