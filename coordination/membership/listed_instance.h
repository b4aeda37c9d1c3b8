#pragma once

#include "state/ids.h"

#include <string>

namespace sardinelb {

// Entry of the platform's instance list. The list lags behind the actual state of the instances.
struct listed_instance {
    daemon_id daemon;
    availability_zone_id zone;
    // IP address and port on which the daemon accepts frames.
    std::string address;
    // The platform is about to terminate the instance.
    bool isLeaving = false;

    friend bool operator==(const listed_instance&, const listed_instance&) = default;
};

}
