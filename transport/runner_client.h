#pragma once

#include "coordination/agent/start_call_action.h"
#include "coordination/attempt_id.h"
#include "coordination/call_failure.h"
#include "coordination/queueing/token_usage.h"
#include "transport/socket_address.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace sardinelb {

class net_thread;

// Makes the calls of one agent to the runner beside it, over the runner's HTTP interface. Each call has a connection of its
// own: on a reused connection, a call that the runner never saw could not be told from one that it ran.
class runner_client {
public:
    struct hooks {
        std::function<void(const attempt_id&, std::uint32_t call, std::uint32_t firstToken, std::uint32_t tokens,
            std::string bytes)>
            onTokens;
        std::function<void(
            const attempt_id&, std::uint32_t call, int status, std::string contentType, std::string body)>
            onServiceResponse;
        std::function<void(const attempt_id&, std::uint32_t call, token_usage)> onCallCompleted;
        std::function<void(const attempt_id&, std::uint32_t call, call_failure, std::string detail)> onCallFailed;
        // Result of the periodic probe.
        std::function<void(bool reachable)> onProbeResult;
    };

    runner_client(net_thread&, socket_address, hooks);
    ~runner_client();
    runner_client(const runner_client&) = delete;
    runner_client& operator=(const runner_client&) = delete;

    // Starts to probe the runner with the given path, as in "/v1/load".
    void startProbing(const std::string& target);

    void start(const start_call_action&);

    // Cancels the call at the runner; no hook is called for it any more.
    void stop(const attempt_id&, std::uint32_t call);

    // Stops or continues reading the answer of a call.
    void setPaused(const attempt_id&, std::uint32_t call, bool paused);

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

}
