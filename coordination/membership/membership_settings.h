#pragma once

#include "state/time.h"

namespace sardinelb {

// Fixed parameters of membership.
struct membership_settings {
    // Silence after which a watched daemon counts as slow. It sends at least one frame per second; losing two in a row
    // is rare, and losing three is no coincidence.
    duration slowAfter = std::chrono::seconds(3);
    // Silence after which a watched daemon counts as silent.
    duration silentAfter = std::chrono::seconds(10);
    // Time that an unlisted daemon is kept after its last frame or the last list that named it.
    duration removeAfter = std::chrono::minutes(2);
    // Bounds of the exponential backoff between probes of a daemon that sends no frames.
    duration minProbeBackoff = std::chrono::seconds(1);
    duration maxProbeBackoff = std::chrono::seconds(30);
    // Limit over all daemons. Bounds the connection attempts after a region was partitioned.
    int maxProbesPerSecond = 5;
    // Minimum number of watched daemons in a zone for their silence to count as a partition.
    int minWatchedForPartition = 3;
};

}
