#pragma once

#include "state/ids.h"

#include <string>

namespace sardinelb {

// One line of the platform's instance list, which lags behind what happens.
struct listed_instance {
    daemon_id daemon;
    availability_zone_id zone;
    // IP number and port on which the daemon accepts frames.
    std::string address;
    // The platform is about to take the instance away.
    bool isLeaving = false;

    friend bool operator==(const listed_instance&, const listed_instance&) = default;
};

}
