#pragma once

#include "state/time.h"

namespace sardinelb {

// Fixed parameters of membership.
struct membership_settings {
    // A watched daemon sends a frame at least once a second.
    // Silence after which it counts as slow: two frames lost in a row are rare, three are not an accident.
    duration slowAfter = std::chrono::seconds(3);
    // Silence after which it counts as silent.
    duration silentAfter = std::chrono::seconds(10);
    // Time that a daemon which the list no longer names is kept after it was last heard or listed.
    duration removeAfter = std::chrono::minutes(2);
    // Pause before the first probe of a daemon that is not heard, and the longest pause between two probes.
    duration firstProbePause = std::chrono::seconds(1);
    duration longestProbePause = std::chrono::seconds(30);
    // Probes per second over all daemons. Bounds the connections after a region has been cut off.
    int probesPerSecond = 5;
    // Watched daemons of a zone below which silence is never taken for a partition.
    int fewestForPartition = 3;
};

}
