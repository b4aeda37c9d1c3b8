#pragma once

#include "coordination/routing/load_report.h"

namespace sardinelb {

// Periodic load report of an agent to its connected entries.
struct load_update_message {
    load_report load;
};

}
