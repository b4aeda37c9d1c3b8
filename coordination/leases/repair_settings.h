#pragma once

#include "state/time.h"

#include <chrono>

namespace sardinelb {

// Limits on self-repair.
struct repair_settings {
    // A runner that has been silent or dead for this long is replaced. Instances restart 180 times on an ordinary day, and a
    // restart, including the loading of models, takes a few minutes at most.
    duration replaceAfter = std::chrono::minutes(5);
    // Runners in a partitioned zone are replaced only after this time, because the zone is expected back within an hour and
    // the runners still serve their side of the partition.
    duration replacePartitionedAfter = std::chrono::minutes(90);
    // A runner that is being taken out of service is replaced after this time.
    duration replaceLeavingAfter = std::chrono::seconds(10);
    // A difference between the reported and the wanted models or roles must persist this long before it is repaired.
    duration repairDriftAfter = std::chrono::seconds(30);
    // A serving runner is not made spare within this time after its last change of role.
    duration minRoleChangeInterval = std::chrono::minutes(30);
    // A step that had no effect is repeated after this delay, which doubles with each repetition up to the maximum.
    duration initialRetryDelay = std::chrono::minutes(2);
    duration maxRetryDelay = std::chrono::hours(1);
    // Older reports are ignored.
    duration maxReportAge = std::chrono::seconds(15);
    // Maximum number of steps per period over all pools.
    int maxStepsPerPeriod = 6;
    duration period = std::chrono::minutes(1);
    // Fraction of a pool's runners that may be changing at the same time; one runner always may.
    double maxChangingShare = 0.2;
};

}
