#pragma once

namespace sardinelb {

// What is known about another daemon.
enum class member_state {
    // On the instance list, and not watched: nothing is known at first hand.
    Listed,
    // Heard recently.
    Live,
    // Heard, but not as often as it should be.
    Slow,
    // Not heard. It may be dead, or the path to it may be broken.
    Silent,
    // Not heard, like most watched daemons of its zone: the path to the zone is probably broken.
    Partitioned,
    // Its address refused a connection: the process does not run.
    Dead,
    // It finishes what it has and takes no new work, or the platform is about to take it away.
    Leaving,
};

// Name for logs and metrics, as in "partitioned".
const char* toString(member_state);

}
