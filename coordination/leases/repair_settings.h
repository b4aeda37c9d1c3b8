#pragma once

#include "state/time.h"

#include <chrono>

namespace sardinelb {

// Bounds of self-repair.
struct repair_settings {
    // A runner that is silent or dead for this long is replaced. Instances restart 180 times on an ordinary day, and a
    // restart with its models takes a few minutes at most.
    duration replaceAfter = std::chrono::minutes(5);
    // A zone that is cut off is expected back within the hour, and its runners still serve their side; they are
    // replaced only after that.
    duration replaceCutOffAfter = std::chrono::minutes(90);
    // A runner that is leaving on purpose is replaced after this time.
    duration replaceLeavingAfter = std::chrono::seconds(10);
    // A difference between reported and wanted models or roles must last this long before it is repaired.
    duration driftAfter = std::chrono::seconds(30);
    // A runner's role is changed at most once in this time.
    duration roleChangePause = std::chrono::minutes(30);
    // A step that changed nothing is proposed again after this time, which doubles each time up to the longest.
    duration retryPause = std::chrono::minutes(2);
    duration longestRetryPause = std::chrono::hours(1);
    // A report older than this is not acted upon.
    duration reportValidity = std::chrono::seconds(15);
    // Steps over all pools in each period.
    int stepsPerPeriod = 6;
    duration period = std::chrono::minutes(1);
    // Share of a pool's runners that may be under change at one time; at least one always may.
    double changedShare = 0.2;
};

}
