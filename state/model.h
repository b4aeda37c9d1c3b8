#pragma once

#include "state/ids.h"

#include <map>
#include <string>

namespace sardinelb {

// A model that callers name in their requests, with its aliases by naming scheme and the pool that serves it.
struct model {
    model_id id;
    std::map<std::string, std::string> aliases;
    pool_id pool;
    config_version changedAt;
};

}
