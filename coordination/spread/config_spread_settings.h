#pragma once

#include "state/ids.h"
#include "state/time.h"

#include <cstddef>

namespace sardinelb {

// Fixed parameters of config_spread.
struct config_spread_settings {
    daemon_id self;
    availability_zone_id zone;
    // Daemons per zone that poll the table. Three keep a zone up to date while two of them are down.
    std::size_t pollersPerZone = 3;
    duration pollInterval = std::chrono::seconds(1);
    // Time between two exchanges with a random peer.
    duration exchangeInterval = std::chrono::seconds(1);
    // Spreads out the requests of daemons that learn of a new version at the same time.
    duration fetchJitter = std::chrono::milliseconds(200);
    // Timeout of a request for changes.
    duration fetchTimeout = std::chrono::seconds(1);
    // Maximum backoff after fetches without progress.
    duration maxFetchBackoff = std::chrono::seconds(4);
    // Consecutive fetches without progress after which a snapshot is accepted instead of changes.
    int failuresUntilSnapshot = 3;
    // Time that a starting daemon waits for the table before it also queries the entries of its zone.
    duration startTableTimeout = std::chrono::seconds(2);
    // Interval between rounds of version queries, and delay after which an entry that has not answered is queried
    // again.
    duration startRoundInterval = std::chrono::seconds(2);
    duration startQueryRetryInterval = std::chrono::milliseconds(500);
    // Maximum backoff between attempts of a starting daemon to load from the table.
    duration maxLoadBackoff = std::chrono::seconds(8);
    // Bounds on the recent changes that are kept for peers.
    std::size_t historyChanges = 1024;
    std::size_t historyBytes = 1'048'576;
    // Limit on the text of one message; a frame holds at most 1 MiB.
    std::size_t maxMessageBytes = 524'288;
    // Size of one part of a snapshot. Writing 64 KiB takes about 1 ms, during which the daemon serves nothing else.
    std::size_t snapshotPartBytes = 65'536;
    // Answers with content that a daemon sends per second. Further requesters get only its version and ask elsewhere.
    int maxAnswersPerSecond = 20;
};

}
