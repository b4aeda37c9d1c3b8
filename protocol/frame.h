#pragma once

#include "coordination/messages/peer_message.h"
#include "state/ids.h"

namespace sardinelb {

// A message between daemons, with the fields that every frame carries.
struct frame {
    daemon_id sender;
    incarnation senderIncarnation;
    // Configuration version that the sender currently uses.
    config_version version;
    peer_message message;
};

}
