#pragma once

#include "coordination/leases/order_kind.h"
#include "state/ids.h"

#include <string>

namespace sardinelb {

// Asks order_issuer for an order; the reason is logged.
struct order_command {
    // Id of the order; a command with the id of the runner's latest order is a repetition and is ignored.
    std::string id;
    runner_id runner;
    order_kind kind = order_kind::LoadModel;
    // Model, adapter or version, or the new role.
    std::string subject;
    std::string reason;
};

}
