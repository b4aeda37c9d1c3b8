#pragma once

#include "serving/event_splitter.h"
#include "serving/runner_response_head.h"
#include "state/ids.h"
#include "state/time.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace sardinelb {

class runner_exchange;

// A process that is killed may close its connections this long before its listening socket.
inline constexpr std::chrono::milliseconds runnerEndTime { 20 };

// One attempt of a request at a runner, and what has been received of the response.
struct runner_attempt {
    // Distinguishes the attempts of a request. 0 before the first one.
    std::uint32_t number = 0;
    // Not set after the attempt has ended.
    std::shared_ptr<runner_exchange> exchange;
    runner_id runner;
    // The runner's process that was addressed.
    runner_process_id process;
    time_point sentAt;
    // Of the response that is being received, or of a complete server error that is forwarded if no other runner answers.
    std::optional<runner_response_head> head;
    std::string body;
    // Also knows the last event that earlier attempts have sent to the caller.
    event_splitter events;
    bool isRelayingStream = false;
    // The connection has ended, and it is being checked whether the response is whole.
    bool isEndUnconfirmed = false;
    bool hasReceivedEvent = false;
    // Whether the attempt has got past the beginning of its answer.
    bool hasAnswered = false;
    time_point lastEventAt;
};

}
