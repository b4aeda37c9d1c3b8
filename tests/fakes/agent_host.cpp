#include "tests/fakes/agent_host.h"

#include "tests/fakes/fake_network.h"

#include <chrono>
#include <utility>

namespace sardinelb::fakes {

namespace {

using namespace std::chrono_literals;

constexpr duration stopPoll = 20ms;
// As in the daemon: time for the last frames to leave.
constexpr duration lastFramesTime = 200ms;

}

agent_host::agent_host(event_queue& events, fake_network& network, agent_settings settings, hooks callbacks)
    : process_host(events)
    , m_network(network)
    , m_settings(std::move(settings))
    , m_hooks(std::move(callbacks))
    , m_runner(events)
{
}

void agent_host::configure(runner_target target)
{
    m_target = target;
    deliver([this, target] { m_core->configure(target, m_events.now()); });
}

void agent_host::stop(std::function<void()> ended)
{
    deliver([this, ended = std::move(ended)] {
        m_core->stopAccepting(m_events.now());
        endWhenIdle(lifetime(), ended);
    });
}

void agent_host::endWhenIdle(std::uint64_t stopped, const std::function<void()>& ended)
{
    m_events.after(stopPoll, [this, stopped, ended] {
        if (lifetime() != stopped || !isAlive())
            return;
        if (isPaused() || !m_core->isIdle()) {
            endWhenIdle(stopped, ended);
            return;
        }
        m_events.after(lastFramesTime, [this, stopped, ended] {
            if (lifetime() == stopped && isAlive())
                ended();
        });
    });
}

void agent_host::reset()
{
    m_settings.ownIncarnation = incarnation(lifetime());
    m_core = std::make_unique<agent_core>(m_settings);
    m_pending.clear();
    m_events.after(m_configurationDelay, [this, started = lifetime()] {
        deliverTo(started, [this] { m_core->configure(m_target, m_events.now()); });
    });
}

void agent_host::tick() { m_core->tick(m_events.now()); }

bool agent_host::isBusy() const { return !m_core->isIdle(); }

void agent_host::flush()
{
    if (std::exchange(m_flushing, true))
        return;
    while (isRunning()) {
        for (agent_action& action : m_core->takeActions())
            m_pending.push_back(std::move(action));
        if (m_pending.empty())
            break;
        const agent_action action = std::move(m_pending.front());
        m_pending.pop_front();
        perform(action);
    }
    m_flushing = false;
}

void agent_host::perform(const agent_action& action)
{
    if (const auto* message = std::get_if<send_to_peer_action>(&action)) {
        m_network.send(id(), message->peer, message->message);
        m_hooks.sent(message->message);
    } else if (const auto* started = std::get_if<start_call_action>(&action)) {
        startCall(*started);
        m_hooks.dispatched(*started);
    } else if (const auto* stopped = std::get_if<stop_call_action>(&action))
        m_runner.stop(stopped->attempt, stopped->call);
}

void agent_host::startCall(const start_call_action& action)
{
    const attempt_id attempt = action.submit.attempt;
    const std::uint32_t call = action.call;
    const std::uint64_t own = lifetime();
    const std::int64_t maxTokens = action.submit.maxTokens;
    fake_runner::call_hooks reports;
    reports.token = [this, own, attempt, call](std::uint32_t first, const std::string& bytes) {
        deliverTo(own, [=, this] { m_core->onTokens(attempt, call, first, 1, bytes, m_events.now()); });
    };
    reports.answered = [this, own, attempt, call](const std::string& body) {
        deliverTo(own,
            [=, this] { m_core->onServiceAnswer(attempt, call, 200, "text/plain", body, m_events.now()); });
    };
    reports.completed = [this, own, attempt, call, maxTokens] {
        deliverTo(own, [=, this] {
            m_core->onCallCompleted(attempt, call, { token_count(1), token_count(maxTokens) }, m_events.now());
        });
    };
    reports.failed = [this, own, attempt, call](call_failure failure) {
        deliverTo(own, [=, this] { m_core->onCallFailed(attempt, call, failure, "runner failed", m_events.now()); });
    };
    m_runner.start(action, std::move(reports));
}

}
