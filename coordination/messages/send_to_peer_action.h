#pragma once

#include "coordination/messages/peer_message.h"
#include "state/ids.h"

namespace sardinelb {

// Sends a message to another daemon. An agent has the same name as its runner.
struct send_to_peer_action {
    daemon_id peer;
    peer_message message;
};

}
