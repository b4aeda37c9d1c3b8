#pragma once

#include "serving/caller_limits.h"
#include "serving/key_owner.h"
#include "serving/runner_pool_profile.h"
#include "serving/traffic_route.h"
#include "state/ids.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace sardinelb {

// One immutable version of the desired configuration, as used by the entries.
struct serving_configuration {
    config_version version;
    std::vector<traffic_route> routes;
    std::unordered_map<pool_id, runner_pool_profile> pools;
    caller_limits limits;
    // By API key.
    std::unordered_map<std::string, key_owner> keys;
    // Whether requests on routes that are not public need a key.
    bool requiresKeys = false;
};

}
