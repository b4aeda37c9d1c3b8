#pragma once

#include "state/time.h"

#include <cstddef>

namespace sardinelb {

// What a runner takes from all entries together while it is cold: for a while after its start, or after it has said so. Entries that do
// not know how many they are keep to it if there are at most `maxPerSecond` of them.
struct warm_up_limit {
    // How long a runner is cold after its start.
    duration time {};
    // What it takes in the long run.
    double requestsPerSecond = 0;
    // What it bears in any single second. At least 1.
    double maxPerSecond = 1;
};

// Requests a second that one entry may send to a cold runner, evenly spaced, so that `entryCount` entries together never exceed the
// limit in any second. If they are more than the limit allows, only those at the first positions may send; `position` counts from 0
// in an order on which all entries agree.
double warmUpShare(const warm_up_limit&, std::size_t position, std::size_t entryCount);

// The share of an entry that doesn't know how many others there are: of as many as the limit allows.
double warmUpShareOfUnsettledEntry(const warm_up_limit&);

}
