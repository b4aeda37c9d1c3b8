#pragma once

#include "state/ids.h"

#include <string>

namespace sardinelb {

// Sends the calls of one method whose path starts with `pathPrefix` to a pool of plain services.
struct service_route {
    // Canonical name, as in "POST /bookings".
    std::string id;
    std::string method;
    std::string pathPrefix;
    pool_id pool;
    // Whether a call may be executed more than once. Other calls are executed at most once.
    bool idempotent = false;
    config_version changedAt;
};

}
