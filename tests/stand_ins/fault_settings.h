#pragma once

#include "state/time.h"

namespace sardinelb::stand_ins {

// Faults that a stand-in injects. Each stand-in supports some of them.
struct fault_settings {
    // Delay between the arrival of a request and its execution.
    duration latency {};
    // Rejects every request with status 503, without executing it.
    bool down = false;
    // Probability that a write is executed and the connection is then closed without a response.
    double loseAnswers = 0;
    // Delay between the execution of a call and its response.
    duration pauseBeforeAnswer {};
    // Probability that a call is executed and the connection is then closed without a response.
    double closeAfterCall = 0;
    // Streams make no progress.
    bool stalled = false;
    // Factor by which generation takes longer.
    double slowdown = 1;
};

}
