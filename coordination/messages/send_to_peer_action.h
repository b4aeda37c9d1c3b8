#pragma once

#include "coordination/messages/peer_message.h"
#include "state/ids.h"

namespace sardinelb {

// Sends a message to another daemon. The daemon beside a runner has the runner's name.
struct send_to_peer_action {
    daemon_id peer;
    peer_message message;
};

}
