#pragma once

#include "coordination/messages/peer_message.h"
#include "state/ids.h"

#include <functional>

namespace sardinelb::fakes {

class process_host;

// Interface of a process to the fake network.
struct network_port {
    process_host* host = nullptr;
    std::function<void(const daemon_id& peer, incarnation)> onConnected;
    std::function<void(const daemon_id& peer)> onConnectionLost;
    std::function<void(const daemon_id& peer, const peer_message&)> onMessage;
};

}
