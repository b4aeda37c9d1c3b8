#pragma once

#include "coordination/leases/runner_order.h"
#include "state/ids.h"

namespace sardinelb {

// Tells an agent about an order that is in the table, so that it need not wait for its next read.
struct order_message {
    runner_order order;
    // Incarnation of the agent that the issuer heard last. An agent refuses messages to an earlier one, which may have
    // been sent before its restart.
    incarnation agentLifetime;
};

}
