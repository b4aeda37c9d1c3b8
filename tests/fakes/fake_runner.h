#pragma once

#include "coordination/agent/start_call_action.h"
#include "coordination/attempt_id.h"
#include "coordination/call_failure.h"
#include "state/ids.h"
#include "state/time.h"
#include "tests/fakes/event_queue.h"
#include "tests/fakes/runner_execution.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace sardinelb::fakes {

// A runner that records each execution. Its tokens depend only on the prompt and the index.
class fake_runner {
public:
    // Events of a call, reported to the process that started it.
    struct call_hooks {
        std::function<void(std::uint32_t firstToken, const std::string& bytes)> token;
        std::function<void(const std::string& body)> answered;
        std::function<void()> completed;
        std::function<void(call_failure)> failed;
    };

    explicit fake_runner(event_queue&);

    void start(const start_call_action&, call_hooks);
    void stop(const attempt_id&, std::uint32_t call);

    // While set, new calls fail before anything is sent.
    void refuseConnections(bool refuse) { m_refusing = refuse; }

    // Breaks the calls that have begun. If no call has begun or another one is still connecting, the next call breaks
    // as soon as it begins.
    void breakCalls();

    // Cancels the pending effect of breakCalls().
    void stopBreaking() { m_breakNext = false; }

    // While set, calls make no progress.
    void stall(bool stalled) { m_stalled = stalled; }

    // Multiplies the duration of all work by the factor.
    void slowDown(int factor) { m_slowdown = factor; }

    // All executions in order.
    const std::vector<runner_execution>& executions() const { return m_executions; }

private:
    struct running_call {
        start_call_action action;
        call_hooks hooks;
        std::uint32_t nextToken = 0;
        bool begun = false;
    };
    using call_key = std::pair<attempt_id, std::uint32_t>;

    void proceed(const call_key&);
    void proceedAfter(const call_key&, duration);

    event_queue& m_events;
    bool m_refusing = false;
    bool m_stalled = false;
    bool m_breakNext = false;
    int m_slowdown = 1;
    std::map<call_key, running_call> m_calls;
    std::vector<runner_execution> m_executions;
};

}
