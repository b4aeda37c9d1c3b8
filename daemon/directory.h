#pragma once

#include "state/configuration.h"
#include "state/name_index.h"

namespace sardinelb {

// A configuration with its name index. Immutable, so that threads can share it.
struct directory {
    configuration config;
    name_index names;
};

}
