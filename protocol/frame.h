#pragma once

#include "coordination/messages/peer_message.h"
#include "state/ids.h"

namespace sardinelb {

// One message with what every frame between daemons carries.
struct frame {
    daemon_id sender;
    incarnation senderIncarnation;
    // Configuration version that the sender has in force.
    config_version version;
    peer_message message;
};

}
