#pragma once

#include "state/ids.h"

#include <map>
#include <string>

namespace sardinelb {

// A machine, with its aliases by naming scheme.
struct instance {
    instance_id id;
    std::map<std::string, std::string> aliases;
    availability_zone_id zone;
    config_version changedAt;
};

}
