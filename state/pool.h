#pragma once

#include "state/ids.h"

namespace sardinelb {

enum class pool_kind {
    // Engines that generate tokens.
    Model,
    // Plain HTTP services.
    Service,
};

// A set of interchangeable runners.
struct pool {
    pool_id id;
    pool_kind kind = pool_kind::Model;
    // Number of runners that should serve; automatic repair maintains it.
    int wantedRunners = 0;
    config_version changedAt;
};

}
