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

// Makes the calls of an agent to its runner over the runner's HTTP interface. Each call uses a new connection: if a
// reused connection fails, a call that the runner never received cannot be distinguished from one that it executed.
class runner_client {
public:
    struct hooks {
        std::function<void(const attempt_id&, std::uint32_t call, std::uint32_t firstToken, std::uint32_t tokens,
            std::string bytes)>
            onTokens;
        std::function<void(
            const attempt_id&, std::uint32_t call, int status, std::string contentType, std::string body)>
            onServiceAnswer;
        std::function<void(const attempt_id&, std::uint32_t call, token_usage)> onCallCompleted;
        std::function<void(const attempt_id&, std::uint32_t call, call_failure, std::string detail)> onCallFailed;
        // Whether so much received text waits to be processed that no more is to be read.
        std::function<bool()> isBehind = [] { return false; };
        // Result of the periodic probe.
        std::function<void(bool reachable)> onProbeResult;
    };

    runner_client(net_thread&, socket_address, hooks);
    ~runner_client();
    runner_client(const runner_client&) = delete;
    runner_client& operator=(const runner_client&) = delete;

    // Starts probing the runner with GET requests for the path, such as "/v1/load".
    void startProbing(const std::string& target);

    void start(const start_call_action&);

    // Cancels the call at the runner. No hook is called for it afterwards.
    void stop(const attempt_id&, std::uint32_t call);

    // Pauses or resumes reading the response of a call.
    void setPaused(const attempt_id&, std::uint32_t call, bool paused);

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

}
