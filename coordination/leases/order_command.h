#pragma once

#include "coordination/leases/order_kind.h"
#include "state/ids.h"

#include <string>

namespace sardinelb {

// A wish for an order, with the reason that the log gives for it.
struct order_command {
    // Names the wish; a repeated command with the id of the runner's latest order is ignored.
    std::string id;
    runner_id runner;
    order_kind kind = order_kind::LoadModel;
    std::string subject;
    std::string reason;
};

}
