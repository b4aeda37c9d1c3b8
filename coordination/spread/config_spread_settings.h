#pragma once

#include "state/ids.h"
#include "state/time.h"

#include <cstddef>

namespace sardinelb {

// Fixed parameters of the spread of configuration changes.
struct config_spread_settings {
    daemon_id self;
    availability_zone_id zone;
    // Daemons of each zone that read the table. Three keep a zone supplied while two of them are down.
    std::size_t pollersPerZone = 3;
    duration pollInterval = std::chrono::seconds(1);
    // Time between two exchanges with a random peer.
    duration exchangeInterval = std::chrono::seconds(1);
    // Spreads the requests of daemons that learn of a new version at the same time.
    duration fetchJitter = std::chrono::milliseconds(200);
    // Time after which an unanswered request for changes is given up.
    duration fetchTimeout = std::chrono::seconds(1);
    // Longest pause between two fetches that brought nothing.
    duration maxFetchPause = std::chrono::seconds(4);
    // Fetches without progress after which a whole configuration is accepted in place of changes.
    int failuresUntilSnapshot = 3;
    // Time that a starting daemon waits for the table before it also asks the entries of its zone.
    duration startPatience = std::chrono::seconds(2);
    // Length of one round of questions, and the pause after which an entry that has not answered is asked again.
    duration startRound = std::chrono::seconds(2);
    duration startQuestionPause = std::chrono::milliseconds(500);
    // Longest pause between two attempts of a starting daemon to load from the table.
    duration maxLoadPause = std::chrono::seconds(8);
    // Bounds on the recent changes that are kept for peers.
    std::size_t historyChanges = 1024;
    std::size_t historyBytes = 1'048'576;
    // Bound on the text of one message; a frame holds 1 MiB.
    std::size_t maxMessageBytes = 524'288;
    // Size of one part of a whole configuration. Writing 64 KiB takes about 1 ms, during which a daemon serves nothing
    // else.
    std::size_t snapshotPartBytes = 65'536;
    // Answers with content that a daemon gives per second. Others get its version only and ask elsewhere.
    int answersPerSecond = 20;
};

}
