#pragma once

namespace sardinelb {

// State of another daemon, from the instance list and from direct evidence.
enum class member_state {
    // On the instance list but not watched: there is no direct evidence.
    Listed,
    // A frame arrived recently.
    Live,
    // Frames arrive, but less often than expected.
    Slow,
    // No frames arrive. The daemon may be dead or unreachable.
    Silent,
    // No frames arrive from it or from most watched daemons of its zone: the network path to the zone is probably
    // broken.
    Partitioned,
    // Its address refused a connection: the process does not run.
    Dead,
    // It finishes its current work and accepts no new work, or the platform is about to terminate it.
    Leaving,
};

// Name for logs and metrics, as in "partitioned".
const char* toString(member_state);

}
