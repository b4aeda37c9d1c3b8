#pragma once

#include "coordination/messages/peer_message.h"
#include "protocol/frame.h"
#include "state/ids.h"
#include "transport/link_limits.h"
#include "transport/peer_identity.h"
#include "transport/socket_address.h"
#include "transport/transport_error.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace sardinelb {

class net_thread;

// Authenticated connections to other daemons, both dialled and accepted. At most one connection to each peer is in
// use: a new one replaces the previous one, and messages that the previous one had not delivered are discarded, so
// that no message of an earlier connection arrives after one of a later connection.
class peer_links {
public:
    struct hooks {
        std::function<void(const peer_identity&)> onPeerConnected;
        std::function<void(const daemon_id&)> onPeerLost;
        std::function<void(const daemon_id&, frame)> onFrame;
        // A frame of this many bytes, including its length prefix, was queued.
        std::function<void(std::size_t bytes)> onBytesSent;
        // Whether the connection to the daemon is mostly idle and its loss is detected by other means. Such
        // connections send fewer heartbeats.
        std::function<bool(const daemon_id&)> isIdle;
        // A connection was closed because the peer failed to authenticate, sent an invalid frame or read too slowly.
        std::function<void(const transport_error&)> onRejected;
        // A message was dropped because its frame exceeds the size limit. The connection stays open.
        std::function<void(const transport_error&)> onOversize;
    };

    peer_links(net_thread&, peer_identity self, std::string sharedKey, hooks, link_limits = {});
    // Closes all connections. No hook is called during or after this.
    ~peer_links();
    peer_links(const peer_links&) = delete;
    peer_links& operator=(const peer_links&) = delete;

    // Starts accepting connections. Returns the bound port. Error: BadAddress.
    transport_result<std::uint16_t> listen(const socket_address&);

    // Maintains a connection to the daemon at the address, with jittered exponential backoff after failures.
    void dial(const daemon_id&, const socket_address&);

    // Closes the connection and stops dialling.
    void disconnect(const daemon_id&);

    // Closes the connection; a dialled peer is dialled again.
    void reset(const daemon_id&);

    // Sets the configuration version that all later frames carry.
    void setVersion(config_version);

    // Sends the message if the daemon is connected. Otherwise drops it; `onPeerLost` was or will be called.
    void send(const daemon_id&, const peer_message&);

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

}
