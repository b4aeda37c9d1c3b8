#pragma once

#include "cli/exit_code.h"
#include "state/configuration_change.h"
#include "state/ids.h"

#include <cstddef>
#include <string>
#include <vector>

namespace sardinelb {

struct cli_services;
struct cli_settings;

// Number of entries of one availability zone that hold a change.
struct zone_acceptance {
    availability_zone_id zone;
    std::size_t entries = 0;
    // Entries that responded, and entries that confirmed that they hold the change.
    std::size_t answered = 0;
    std::size_t holding = 0;

    bool isUnreachable() const { return answered == 0; }

    // Whether a majority of all entries of the zone hold the change. Any two majorities of a zone intersect, so a
    // daemon that queries a majority at startup learns of the change.
    bool isAccepted() const { return holding * 2 > entries; }
};

// Acceptance of a committed change, by availability zone.
struct acceptance {
    std::vector<zone_acceptance> zones;

    // Success, ZoneUnreachable (accepted in all reachable zones) or NotAccepted.
    exit_code code() const;

    // Table with one line per zone.
    std::string describe() const;
};

// Pushes committed changes in order to all entries and counts the entries that hold the last one. Retries the others a
// few times.
acceptance pushChanges(const std::vector<configuration_change>&, const cli_settings&, const cli_services&);

}
