#include "tests/fakes/serving_simulation.h"

#include "tests/fakes/expected_answer.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace sardinelb::fakes {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t streamTokens = 12;
// Time until a change of the configuration takes effect at the agent of the runner and at the entries. The entries lag
// almost as long as permitted (17 s), so that it is the agent that keeps new work from a drained runner.
constexpr duration agentConfigurationDelay = 800ms;
constexpr duration entryConfigurationDelay = 16s;
// Time bound of invariant I5.
constexpr duration drainBound = 5s;
// An agent considers its runner unreachable after three failed probes.
constexpr duration probesUntilDown = 1500ms;
constexpr duration probeInterval = 500ms;

const pool_id poolName("pool");

daemon_id entryName(std::size_t index) { return daemon_id("entry-" + std::to_string(index)); }

runner_id runnerName(std::size_t index) { return runner_id("runner-" + std::to_string(index)); }

derived_limits generousLimits(const simulation_settings& settings)
{
    derived_limits limits;
    limits.tokensPerSecond = token_count(100000);
    limits.burst = token_count(1000000);
    limits.requestsPerSecond = 1000;
    limits.requestBurst = 10000;
    limits.inFlight = 64;
    limits.weight = 1;
    limits.retryRatio = settings.retryRatio;
    limits.answerWithin = settings.answerWithin;
    return limits;
}

std::string expectedFor(const caller_record& caller)
{
    if (caller.kind == request_kind::ChatStream)
        return expectedStream(caller.request.body, streamTokens);
    return expectedServiceAnswer(caller.request.body);
}

bool isPrefix(const std::string& part, const std::string& whole) { return whole.compare(0, part.size(), part) == 0; }

}

serving_simulation::serving_simulation(const simulation_settings& settings, step_hook onStep)
    : m_settings(settings)
    , m_onStep(std::move(onStep))
    , m_network(m_events)
{
    for (std::size_t index = 0; index < settings.agents; ++index)
        addAgent(index);
    for (std::size_t index = 0; index < settings.entries; ++index)
        addEntry(index);
    publishRunners();
    for (const auto& host : m_agents)
        host->start();
    for (const auto& host : m_entries) {
        host->start();
        m_network.onProcessStarted(host->id());
    }
}

void serving_simulation::addEntry(std::size_t index)
{
    entry_settings settings;
    settings.routing.self = entryName(index);
    settings.seed = m_settings.seed + index;
    m_entries.push_back(std::make_unique<entry_host>(m_events, m_network, settings, entryHooks()));
    m_entryStopping.push_back(false);
    entry_host& host = *m_entries.back();
    network_port port;
    port.host = &host;
    port.onConnected = [this, &host](const daemon_id& peer, incarnation number) {
        host.core().onPeerConnected(runner_id(peer.value()), number, m_events.now());
    };
    port.onConnectionLost = [this, &host](const daemon_id& peer) {
        host.core().onPeerLost(runner_id(peer.value()), m_events.now());
    };
    port.onMessage = [this, &host](const daemon_id& peer, const peer_message& message) {
        host.core().onMessage(runner_id(peer.value()), message, m_events.now());
    };
    m_network.addEntry(host.id(), std::move(port));
}

void serving_simulation::addAgent(std::size_t index)
{
    agent_settings settings;
    settings.runner = runnerName(index);
    settings.queue.slots = m_settings.slots;
    m_agents.push_back(std::make_unique<agent_host>(m_events, m_network, settings, agentHooks()));
    m_drainedAt.emplace_back();
    agent_host& host = *m_agents.back();
    network_port port;
    port.host = &host;
    port.onConnected = [this, &host](const daemon_id& peer, incarnation number) {
        host.core().onPeerConnected(peer, number, m_events.now());
    };
    port.onConnectionLost = [this, &host](const daemon_id& peer) { host.core().onPeerLost(peer, m_events.now()); };
    port.onMessage = [this, &host](const daemon_id& peer, const peer_message& message) {
        host.core().onMessage(peer, message, m_events.now());
    };
    m_network.addAgent(host.id(), std::move(port));
}

entry_host::hooks serving_simulation::entryHooks()
{
    entry_host::hooks hooks;
    hooks.submitting = [this](const daemon_id& agent, const submit_message& m) {
        m_agentOf[m.attempt.request] = indexOf(agent);
        reportStep(m.attempt.request, request_step::Route);
    };
    hooks.submitted = [this](const submit_message& m) { reportStep(m.attempt.request, request_step::SubmitSent); };
    hooks.part = [this](const answer_part_action& part) { onPart(part); };
    hooks.end = [this](const answer_end_action& end) { onEnd(end); };
    hooks.error = [this](const answer_error_action& error) { onError(error); };
    return hooks;
}

agent_host::hooks serving_simulation::agentHooks()
{
    agent_host::hooks hooks;
    hooks.sent = [this](const peer_message& message) { onSent(message); };
    hooks.dispatched = [this](const start_call_action& action) {
        reportStep(action.submit.attempt.request, request_step::Dispatch);
    };
    return hooks;
}

std::size_t serving_simulation::indexOf(const daemon_id& agent) const
{
    const auto found = std::find_if(
        m_agents.begin(), m_agents.end(), [&](const auto& host) { return host->id() == agent; });
    return static_cast<std::size_t>(found - m_agents.begin());
}

void serving_simulation::publishRunners()
{
    std::vector<runner_view> views;
    for (const auto& host : m_agents)
        views.push_back({ host->runnerId(), poolName, {}, host->target() == runner_target::Serving, {} });
    for (const auto& host : m_entries)
        host->setRunners(views);
}

void serving_simulation::reportStep(const request_id& request, request_step reached)
{
    const unsigned flag = 1U << static_cast<unsigned>(reached);
    if (request != m_watched || (m_stepsSeen & flag) != 0)
        return;
    m_stepsSeen |= flag;
    if (m_onStep)
        m_onStep(request, reached);
}

void serving_simulation::onSent(const peer_message& message)
{
    if (const auto* admission = std::get_if<admission_message>(&message)) {
        if (admission->refusal == refusal_reason::None)
            reportStep(admission->attempt.request, request_step::AdmissionSent);
    } else if (const auto* chunk = std::get_if<chunk_message>(&message)) {
        const bool isStream = chunk->tokens > 0;
        // Long answers of plain services are sent in three chunks.
        const std::uint64_t position = isStream ? chunk->firstToken : chunk->sequence;
        const std::uint64_t last = isStream ? streamTokens - 1 : 2;
        if (position == 0)
            reportStep(chunk->attempt.request, request_step::FirstToken);
        else if (position == last)
            reportStep(chunk->attempt.request, request_step::LastChunk);
        else if (position == (last + 1) / 2)
            reportStep(chunk->attempt.request, request_step::MidStream);
    } else if (const auto* finish = std::get_if<finish_message>(&message))
        reportStep(finish->attempt.request, request_step::FinishSent);
}

request_id serving_simulation::call(std::size_t entryIndex, request_kind kind, bool isWatched)
{
    entry_host& host = entry(entryIndex);
    const std::string name = host.id().value() + "-" + std::to_string(host.lifetime()) + "-" + std::to_string(++m_calls);
    caller_record caller;
    caller.kind = kind;
    caller.entry = entryIndex;
    caller.request.id = request_id(name);
    caller.request.team = team_id("team");
    caller.request.limits = generousLimits(m_settings);
    caller.request.pool = poolName;
    caller.request.kind = kind == request_kind::ChatStream ? pool_kind::Model : pool_kind::Service;
    caller.request.idempotent = kind != request_kind::NonIdempotentCall;
    caller.request.method = "POST";
    caller.request.target = "/book";
    caller.request.body = (isWatched ? longAnswerPrefix : "") + name;
    if (kind == request_kind::ChatStream) {
        caller.request.maxTokens = streamTokens;
        caller.request.cost = { token_count(1), token_count(streamTokens) };
    }
    request_id id = caller.request.id;
    if (isWatched)
        m_watched = id;
    caller_record& kept = m_callers.emplace(id, std::move(caller)).first->second;
    reportStep(id, request_step::Accept);
    kept.entryDied = kept.entryDied || !host.isAlive();
    kept.arrivedAtStop = m_entryStopping.at(entryIndex);
    host.deliver([this, &host, &kept] { host.core().onRequest(kept.request, m_events.now()); });
    return id;
}

void serving_simulation::disconnectCaller(const request_id& id)
{
    caller_record& caller = m_callers.at(id);
    if (caller.disconnected || caller.finalActions > 0)
        return;
    caller.disconnected = true;
    entry_host& host = entry(caller.entry);
    host.deliver([this, &host, id] { host.core().onCallerDisconnected(id, m_events.now()); });
}

std::optional<std::size_t> serving_simulation::agentOf(const request_id& id) const
{
    const auto found = m_agentOf.find(id);
    return found == m_agentOf.end() ? std::nullopt : std::optional(found->second);
}

void serving_simulation::onPart(const answer_part_action& part)
{
    caller_record& caller = m_callers.at(part.request);
    if (part.firstToken != caller.tokens || caller.finalActions > 0)
        ++caller.misplacedParts;
    caller.receivedBody += part.bytes;
    caller.tokens += part.tokens;
    entry_host& host = entry(caller.entry);
    const byte_count bytes(static_cast<std::int64_t>(part.bytes.size()));
    m_events.after(duration::zero(), [this, &host, id = part.request, bytes] {
        host.deliver([&host, id, bytes] { host.core().onCallerRead(id, bytes); });
    });
}

void serving_simulation::onEnd(const answer_end_action& end)
{
    caller_record& caller = m_callers.at(end.request);
    caller.receivedBody += end.body;
    caller.completed = true;
    ++caller.finalActions;
    reportStep(end.request, request_step::Settle);
}

void serving_simulation::onError(const answer_error_action& failed)
{
    caller_record& caller = m_callers.at(failed.request);
    caller.error = failed.error;
    ++caller.finalActions;
    reportStep(failed.request, request_step::Settle);
}

void serving_simulation::endEntry(std::size_t index, bool deliversSent, duration restartDelay)
{
    entry_host& host = entry(index);
    if (!host.isAlive())
        return;
    for (auto& [id, caller] : m_callers)
        caller.entryDied = caller.entryDied || (caller.entry == index && caller.finalActions == 0);
    host.kill();
    m_network.onProcessEnded(host.id(), deliversSent);
    m_events.after(restartDelay, [this, index, &host] {
        m_entryStopping.at(index) = false;
        host.start();
        m_network.onProcessStarted(host.id());
    });
}

void serving_simulation::endAgent(std::size_t index, bool deliversSent, duration restartDelay)
{
    agent_host& host = agent(index);
    if (!host.isAlive())
        return;
    host.kill();
    m_network.onProcessEnded(host.id(), deliversSent);
    m_events.after(restartDelay, [this, &host] {
        host.start();
        m_network.onProcessStarted(host.id());
    });
}

void serving_simulation::killEntry(std::size_t index, duration restartDelay) { endEntry(index, false, restartDelay); }

void serving_simulation::killAgent(std::size_t index, duration restartDelay) { endAgent(index, false, restartDelay); }

void serving_simulation::pauseEntry(std::size_t index, duration span, process_host::wake_order order)
{
    entry_host& host = entry(index);
    if (!host.isRunning())
        return;
    host.pause();
    m_network.onProcessPaused(host.id());
    m_events.after(span, [this, &host, order] {
        host.resume(order);
        m_network.onProcessResumed(host.id());
    });
}

void serving_simulation::pauseAgent(std::size_t index, duration span, process_host::wake_order order)
{
    agent_host& host = agent(index);
    if (!host.isRunning())
        return;
    host.pause();
    m_network.onProcessPaused(host.id());
    m_events.after(span, [this, &host, order] {
        host.resume(order);
        m_network.onProcessResumed(host.id());
    });
}

void serving_simulation::stopEntry(std::size_t index, duration restartDelay)
{
    if (!entry(index).isAlive() || m_entryStopping.at(index))
        return;
    m_entryStopping.at(index) = true;
    entry(index).stop([this, index, restartDelay] { endEntry(index, true, restartDelay); });
}

void serving_simulation::stopAgent(std::size_t index, duration restartDelay)
{
    agent(index).stop([this, index, restartDelay] { endAgent(index, true, restartDelay); });
}

void serving_simulation::drain(std::size_t index)
{
    m_drainedAt.at(index) = m_events.now();
    m_events.after(agentConfigurationDelay, [this, index] { agent(index).configure(runner_target::Draining); });
    m_events.after(entryConfigurationDelay, [this] { publishRunners(); });
}

void serving_simulation::serveAgain(std::size_t index)
{
    m_drainedAt.at(index).reset();
    agent(index).configure(runner_target::Serving);
    publishRunners();
}

void serving_simulation::refuseConnections(std::size_t index, duration span)
{
    agent_host& host = agent(index);
    const auto report = [this, &host](bool reachable) {
        host.deliver([this, &host, reachable] { host.core().onRunnerReachabilityChanged(reachable, m_events.now()); });
    };
    host.runner().refuseConnections(true);
    if (span > probesUntilDown)
        m_events.after(probesUntilDown, [report] { report(false); });
    m_events.after(span, [&host] { host.runner().refuseConnections(false); });
    m_events.after(span + probeInterval, [report] { report(true); });
}

int serving_simulation::executions(const request_id& id) const
{
    int count = 0;
    for (const auto& host : m_agents) {
        const auto& all = host->runner().executions();
        count += static_cast<int>(
            std::count_if(all.begin(), all.end(), [&](const auto& one) { return one.attempt.request == id; }));
    }
    return count;
}

std::string serving_simulation::violationOf(const caller_record& caller, bool onlyPlannedOperations) const
{
    const int runs = executions(caller.request.id);
    const bool mayMissFinal = caller.disconnected || caller.entryDied;
    if (caller.finalActions > 1 || (caller.finalActions == 0 && !mayMissFinal))
        return std::to_string(caller.finalActions) + " final actions";
    if (caller.error && caller.error->execution == execution_outcome::NotRun && runs > 0)
        return "I3: told not run, ran " + std::to_string(runs) + " times";
    if (!caller.request.idempotent && runs > 1)
        return "I4: non-idempotent, ran " + std::to_string(runs) + " times";
    if (caller.misplacedParts > 0)
        return "I2: parts out of place";
    if (caller.completed && caller.receivedBody != expectedFor(caller))
        return "I2: completed with another answer";
    if (!caller.completed && !isPrefix(caller.receivedBody, expectedFor(caller)))
        return "I2: partial answer is not a prefix";
    if (onlyPlannedOperations && !caller.completed && !caller.disconnected && !caller.arrivedAtStop)
        return "I6: planned operation cut off the request: " + (caller.error ? caller.error->code : "no answer");
    return {};
}

std::vector<std::string> serving_simulation::violations(bool onlyPlannedOperations) const
{
    std::vector<std::string> found;
    for (const auto& [id, caller] : m_callers) {
        if (const std::string fault = violationOf(caller, onlyPlannedOperations); !fault.empty())
            found.push_back(id.value() + " (" + toString(caller.kind) + "): " + fault);
    }
    for (std::size_t index = 0; index < m_agents.size(); ++index) {
        const agent_host& host = *m_agents.at(index);
        if (host.isAlive() && !host.core().isIdle())
            found.push_back(host.runnerId().value() + ": attempts still active");
        for (const runner_execution& run : host.runner().executions()) {
            if (m_drainedAt.at(index) && run.call == 1 && run.dispatchedAt > *m_drainedAt.at(index) + drainBound)
                found.push_back("I5: " + run.attempt.request.value() + " dispatched to drained " + host.runnerId().value());
        }
    }
    for (const auto& host : m_entries) {
        if (host->isAlive() && host->core().inFlight() > 0)
            found.push_back(host->id().value() + ": requests still in flight");
        if (host->isAlive() && host->core().routedAttempts() > 0)
            found.push_back(host->id().value() + ": attempts still count as load");
    }
    return found;
}

}
