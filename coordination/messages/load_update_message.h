#pragma once

#include "coordination/routing/load_report.h"

namespace sardinelb {

// Periodic load report of an agent to the entries that are connected to it.
struct load_update_message {
    load_report load;
};

}
