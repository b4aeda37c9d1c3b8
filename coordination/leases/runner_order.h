#pragma once

#include "coordination/leases/order_kind.h"
#include "state/ids.h"

#include <cstdint>
#include <string>

namespace sardinelb {

enum class order_status {
    Pending,
    // The runner has the desired state.
    Done,
    // The runner cannot or will not carry out the order.
    Refused,
};

// One order to a runner, as stored in its row in the table.
struct runner_order {
    runner_id runner;
    // Position among the orders to this runner, starting at 1.
    std::uint64_t sequence = 0;
    // Chosen by the author of the command, so that the same order has the same id under every holder.
    std::string id;
    // Fencing number of the holder that issued or adopted the order.
    fencing_number number;
    order_kind kind = order_kind::LoadModel;
    // Model, adapter or version, or the new role.
    std::string subject;
    order_status status = order_status::Pending;
};

// Description for logs, such as "load-model clue-2 on runner-7 (order 12, fencing number 3)".
std::string describe(const runner_order&);

}
