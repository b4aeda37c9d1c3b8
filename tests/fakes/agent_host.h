#pragma once

#include "coordination/agent/agent_core.h"
#include "coordination/agent/agent_settings.h"
#include "state/ids.h"
#include "state/runner.h"
#include "tests/fakes/fake_runner.h"
#include "tests/fakes/process_host.h"

#include <deque>
#include <functional>
#include <memory>

namespace sardinelb::fakes {

class fake_network;

// Simulated agent process with the real agent_core, and its fake runner.
class agent_host : public process_host {
public:
    struct hooks {
        // Called after a message was passed to the network, and after a call was passed to the runner.
        std::function<void(const peer_message&)> sent;
        std::function<void(const start_call_action&)> dispatched;
    };

    agent_host(event_queue&, fake_network&, agent_settings, hooks);

    daemon_id id() const { return daemon_id(m_settings.runner.value()); }
    const runner_id& runnerId() const { return m_settings.runner; }
    agent_core& core() { return *m_core; }
    const agent_core& core() const { return *m_core; }
    fake_runner& runner() { return m_runner; }
    const fake_runner& runner() const { return m_runner; }

    // Configured target state. A restarted agent reads it after the configuration delay.
    void configure(runner_target);
    runner_target target() const { return m_target; }
    void setConfigurationDelay(duration delay) { m_configurationDelay = delay; }

    // Planned stop: refuses new work, and ends the process once nothing is active.
    void stop(std::function<void()> ended);

protected:
    void reset() override;
    void tick() override;
    void flush() override;
    bool isBusy() const override;

private:
    void perform(const agent_action&);
    void startCall(const start_call_action&);
    void endWhenIdle(std::uint64_t lifetime, const std::function<void()>& ended);

    fake_network& m_network;
    agent_settings m_settings;
    hooks m_hooks;
    fake_runner m_runner;
    runner_target m_target = runner_target::Serving;
    duration m_configurationDelay = std::chrono::milliseconds(100);
    std::unique_ptr<agent_core> m_core;
    std::deque<agent_action> m_pending;
    bool m_flushing = false;
};

}
