#include "daemon/agent_daemon.h"

#include "coordination/agent/agent_core.h"
#include "daemon/daemon_runtime.h"
#include "daemon/logger.h"
#include "transport/runner_client.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <thread>
#include <utility>

namespace sardinelb {

namespace {

constexpr std::chrono::milliseconds shutdownPollInterval(20);
// Time to send the last frames after the last attempt has ended.
constexpr std::chrono::milliseconds finalFlushTime(200);

// Most text of all calls that waits for the decision thread before the runner is read on. A runner in trouble sends it faster than that.
constexpr std::size_t maxUnprocessedBytes = std::size_t { 1 } << 20U;

agent_settings coreSettings(const daemon_settings& settings, incarnation number)
{
    agent_settings core;
    core.runner = runner_id(settings.id.value());
    core.ownIncarnation = number;
    core.queue.slots = settings.runnerSlots;
    return core;
}

}

struct agent_daemon::implementation {
    explicit implementation(const daemon_settings&);

    daemon_runtime::hooks runtimeHooks();
    runner_client::hooks runnerHooks();
    void configure(const directory&, time_point);
    void performActions();
    std::string status() const;

    // Used only on the decision thread, except for the atomics.
    std::unique_ptr<agent_core> core;
    config_version version;
    std::atomic<bool> isIdle { true };
    std::atomic<bool> hasConfiguration { false };
    std::atomic<bool> isStopping { false };
    // Text that the runner has sent and the decision thread has not seen.
    std::atomic<std::size_t> unprocessedBytes { 0 };

    daemon_runtime runtime;
    runner_client runner;
};

agent_daemon::implementation::implementation(const daemon_settings& settings)
    : runtime(settings, runtimeHooks())
    , runner(runtime.net(), settings.runnerAddress, runnerHooks())
{
    core = std::make_unique<agent_core>(coreSettings(settings, runtime.ownIncarnation()));
}

daemon_runtime::hooks agent_daemon::implementation::runtimeHooks()
{
    daemon_runtime::hooks hooks;
    hooks.onConfiguration
        = [this](const std::shared_ptr<const directory>& next, time_point now) { configure(*next, now); };
    hooks.onPeerConnected = [this](const peer_identity& peer, time_point now) {
        core->onPeerConnected(peer.daemon, peer.number, now);
    };
    hooks.onPeerLost = [this](const daemon_id& peer, time_point now) { core->onPeerLost(peer, now); };
    hooks.onFrame = [this](const daemon_id& peer, const frame& incoming, time_point now) {
        core->onMessage(peer, incoming.message, now);
    };
    hooks.onTick = [this](time_point now) { core->tick(now); };
    hooks.performActions = [this] { performActions(); };
    hooks.status = [this] { return status(); };
    hooks.isReady = [this] { return hasConfiguration && !isStopping; };
    return hooks;
}

runner_client::hooks agent_daemon::implementation::runnerHooks()
{
    runner_client::hooks hooks;
    hooks.onTokens = [this](const attempt_id& attempt, std::uint32_t call, std::uint32_t first,
                         std::uint32_t tokens, std::string bytes) {
        unprocessedBytes += bytes.size();
        runtime.postOrderedEvent([this, attempt, call, first, tokens, bytes = std::move(bytes)](time_point now) {
            core->onTokens(attempt, call, first, tokens, bytes, now);
            unprocessedBytes -= bytes.size();
        });
    };
    hooks.isBehind = [this] { return unprocessedBytes > maxUnprocessedBytes; };
    hooks.onServiceAnswer = [this](const attempt_id& attempt, std::uint32_t call, int status, std::string type,
                                std::string body) {
        runtime.postOrderedEvent([this, attempt, call, status, type = std::move(type), body = std::move(body)](
                                     time_point now) { core->onServiceAnswer(attempt, call, status, type, body, now); });
    };
    hooks.onCallCompleted = [this](const attempt_id& attempt, std::uint32_t call, token_usage usage) {
        runtime.postOrderedEvent(
            [this, attempt, call, usage](time_point now) { core->onCallCompleted(attempt, call, usage, now); });
    };
    hooks.onCallFailed = [this](const attempt_id& attempt, std::uint32_t call, call_failure failure,
                             std::string detail) {
        runtime.postOrderedEvent([this, attempt, call, failure, detail = std::move(detail)](
                                     time_point now) { core->onCallFailed(attempt, call, failure, detail, now); });
    };
    hooks.onProbeResult = [this](bool reachable) {
        runtime.postOrderedEvent([this, reachable](time_point now) { core->onRunnerReachabilityChanged(reachable, now); });
    };
    return hooks;
}

void agent_daemon::implementation::configure(const directory& next, time_point now)
{
    version = next.config.version;
    hasConfiguration = true;
    const auto own = next.config.runners.find(runner_id(runtime.settings().id.value()));
    // A runner that is missing from the configuration accepts no work.
    core->configure(own == next.config.runners.end() ? runner_target::Stopped : own->second.target, now);
}

void agent_daemon::implementation::performActions()
{
    for (agent_action& action : core->takeActions()) {
        if (const auto* line = std::get_if<log_action>(&action)) {
            runtime.log(*line);
            continue;
        }
        runtime.postToNet([this, moved = std::make_shared<agent_action>(std::move(action))] {
            if (const auto* message = std::get_if<send_to_peer_action>(moved.get()))
                runtime.links().send(message->peer, message->message);
            else if (const auto* start = std::get_if<start_call_action>(moved.get()))
                runner.start(*start);
            else if (const auto* stop = std::get_if<stop_call_action>(moved.get()))
                runner.stop(stop->attempt, stop->call);
            else if (const auto* hold = std::get_if<hold_call_action>(moved.get()))
                runner.setPaused(hold->attempt, hold->call, hold->held);
        });
    }
    isIdle = core->isIdle();
    runtime.counters().setInFlight(core->load().queued + core->load().running);
}

std::string agent_daemon::implementation::status() const
{
    const load_report load = core->load();
    const nlohmann::json own { { "id", load.runner.value() }, { "queued", load.queued }, { "running", load.running },
        { "accepting", load.accepting } };
    const nlohmann::json body { { "daemon", runtime.settings().id.value() }, { "role", "agent" },
        { "incarnation", runtime.ownIncarnation().value() }, { "config_version", version.value() },
        { "ready", hasConfiguration && !isStopping }, { "in_flight", load.queued + load.running },
        { "runners", nlohmann::json::array({ own }) } };
    return body.dump();
}

agent_daemon::agent_daemon(const daemon_settings& settings)
    : m_implementation(std::make_unique<implementation>(settings))
{
}

agent_daemon::~agent_daemon()
{
    m_implementation->runtime.stop();
}

transport_result<void> agent_daemon::start()
{
    implementation& self = *m_implementation;
    self.runner.startProbing(self.runtime.settings().runnerKind == pool_kind::Model ? "/v1/load" : "/healthz");
    return self.runtime.start();
}

void agent_daemon::shutDown()
{
    implementation& self = *m_implementation;
    self.isStopping = true;
    logInfo("queue", {}, "Stopping: new attempts are refused.");
    std::atomic<bool> refusing { false };
    self.runtime.postEventFromMain([&self, &refusing](time_point now) {
        self.core->stopAccepting(now);
        refusing = true;
    });
    while (!refusing || !self.isIdle)
        std::this_thread::sleep_for(shutdownPollInterval);
    std::this_thread::sleep_for(finalFlushTime);
}

}
