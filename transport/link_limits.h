#pragma once

#include <chrono>
#include <cstddef>

namespace sardinelb {

// Bounds of the connections between daemons.
struct link_limits {
    // Time for the whole handshake.
    std::chrono::milliseconds handshakeTimeout { 3000 };
    // Empty frames keep a quiet connection known as alive; a peer that is silent for longer is taken as lost.
    std::chrono::milliseconds heartbeatInterval { 2000 };
    std::chrono::milliseconds silenceTimeout { 6000 };
    // The same for connections that peer_links::hooks::isIdle names. With 350 entries, links between entries outnumber
    // all others; heartbeats of 60 bytes every 2 s would take 10 KB/s of the 5 KB/s that control has.
    std::chrono::milliseconds idleHeartbeatInterval { 20000 };
    std::chrono::milliseconds idleSilenceTimeout { 60000 };
    // The delay doubles with every failed dial in a row.
    std::chrono::milliseconds minRedialDelay { 50 };
    std::chrono::milliseconds maxRedialDelay { 2000 };
    // A peer that lets more bytes than this wait for it reads too slowly.
    std::size_t maxQueuedBytes = std::size_t { 8 } * 1024 * 1024;
};

}
