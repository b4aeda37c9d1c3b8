#pragma once

#include "coordination/messages/peer_message.h"
#include "state/ids.h"

#include <functional>

namespace sardinelb::fakes {

class process_host;

// How a process takes part in a fake network.
struct network_port {
    process_host* host = nullptr;
    std::function<void(const daemon_id& peer, incarnation)> connected;
    std::function<void(const daemon_id& peer)> lost;
    std::function<void(const daemon_id& peer, const peer_message&)> onMessage;
};

}
