#pragma once

#include "coordination/leases/runner_order.h"
#include "state/ids.h"

namespace sardinelb {

// Notifies an agent of an order in the table, so that it need not wait for its next poll.
struct order_message {
    runner_order order;
    // Last incarnation of the agent known to the issuer. The agent refuses a message for an earlier incarnation, which
    // may have been sent before its restart.
    incarnation agentLifetime;
};

}
