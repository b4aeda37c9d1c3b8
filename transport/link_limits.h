#pragma once

#include <chrono>
#include <cstddef>

namespace sardinelb {

// Limits of the connections between daemons.
struct link_limits {
    // Time for the whole handshake.
    std::chrono::milliseconds handshakeTimeout { 3000 };
    // Empty frames are sent as heartbeats on a quiet connection. A peer that sends nothing for `silenceTimeout`
    // counts as lost.
    std::chrono::milliseconds heartbeatInterval { 2000 };
    std::chrono::milliseconds silenceTimeout { 6000 };
    // The same for connections for which peer_links::hooks::isIdle returns true. With 350 entries, most links are
    // between entries; their heartbeats of 60 bytes every 2 s would take 10 KB/s, while the budget for control
    // traffic is 5 KB/s.
    std::chrono::milliseconds idleHeartbeatInterval { 20000 };
    std::chrono::milliseconds idleSilenceTimeout { 60000 };
    // The delay doubles with every consecutive failure.
    std::chrono::milliseconds minRedialDelay { 50 };
    std::chrono::milliseconds maxRedialDelay { 2000 };
    // Unsent bytes above which the peer counts as too slow and its connection is closed.
    std::size_t maxQueuedBytes = std::size_t { 8 } * 1024 * 1024;
};

}
