#pragma once

#include "coordination/entry/entry_core.h"
#include "coordination/entry/entry_settings.h"
#include "coordination/routing/runner_view.h"
#include "state/ids.h"
#include "tests/fakes/process_host.h"

#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace sardinelb::fakes {

class fake_network;

// Simulated entry process with the real entry_core.
class entry_host : public process_host {
public:
    struct hooks {
        // Called before and after a submit is passed to the network.
        std::function<void(const daemon_id& agent, const submit_message&)> submitting;
        std::function<void(const submit_message&)> submitted;
        std::function<void(const answer_part_action&)> part;
        std::function<void(const answer_end_action&)> end;
        std::function<void(const answer_error_action&)> error;
    };

    entry_host(event_queue&, fake_network&, entry_settings, hooks);

    const daemon_id& id() const { return m_settings.routing.self; }
    entry_core& core() { return *m_core; }
    const entry_core& core() const { return *m_core; }

    // Configured runners; kept over restarts.
    void setRunners(const std::vector<runner_view>&);

    // Planned stop: refuses new requests, and ends the process once nothing is in flight.
    void stop(std::function<void()> ended);

protected:
    void reset() override;
    void tick() override;
    void flush() override;
    bool isBusy() const override;

private:
    void perform(const entry_action&);

    fake_network& m_network;
    entry_settings m_settings;
    hooks m_hooks;
    std::vector<runner_view> m_runners;
    std::unique_ptr<entry_core> m_core;
    std::deque<entry_action> m_pending;
    bool m_flushing = false;
    std::function<void()> m_ended;
};

}
