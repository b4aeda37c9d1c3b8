#include "tests/fakes/entry_host.h"

#include "tests/fakes/fake_network.h"

#include <utility>

namespace sardinelb::fakes {

entry_host::entry_host(event_queue& events, fake_network& network, entry_settings settings, hooks callbacks)
    : process_host(events)
    , m_network(network)
    , m_settings(std::move(settings))
    , m_hooks(std::move(callbacks))
{
}

void entry_host::setRunners(const std::vector<runner_view>& runners)
{
    m_runners = runners;
    deliver([this] { m_core->setRunners(m_runners); });
}

void entry_host::stop(std::function<void()> ended)
{
    deliver([this, ended = std::move(ended)] {
        m_core->stopAccepting();
        m_ended = ended;
    });
}

void entry_host::reset()
{
    m_core = std::make_unique<entry_core>(m_settings, [](const team_id&) { return std::nullopt; });
    m_core->setRunners(m_runners);
    m_pending.clear();
    m_ended = nullptr;
}

void entry_host::tick() { m_core->tick(m_events.now()); }

bool entry_host::isBusy() const { return m_core->inFlight() > 0; }

void entry_host::flush()
{
    if (std::exchange(m_flushing, true))
        return;
    while (isRunning()) {
        for (entry_action& action : m_core->takeActions())
            m_pending.push_back(std::move(action));
        if (m_pending.empty())
            break;
        const entry_action action = std::move(m_pending.front());
        m_pending.pop_front();
        perform(action);
    }
    m_flushing = false;
    if (isRunning() && m_ended && m_core->inFlight() == 0)
        std::exchange(m_ended, nullptr)();
}

void entry_host::perform(const entry_action& action)
{
    if (const auto* message = std::get_if<send_to_peer_action>(&action)) {
        const auto* submit = std::get_if<submit_message>(&message->message);
        if (submit)
            m_hooks.submitting(message->peer, *submit);
        if (!isRunning()) {
            // The process was paused or ended before the message was sent.
            m_pending.push_front(action);
            return;
        }
        m_network.send(id(), message->peer, message->message);
        if (submit)
            m_hooks.submitted(*submit);
    } else if (const auto* part = std::get_if<answer_part_action>(&action))
        m_hooks.part(*part);
    else if (const auto* end = std::get_if<answer_end_action>(&action))
        m_hooks.end(*end);
    else if (const auto* error = std::get_if<answer_error_action>(&action))
        m_hooks.error(*error);
}

}
