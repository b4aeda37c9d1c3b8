#include "bench/model/fleet_model.h"

#include "bench/model/runner_names.h"

#include "coordination/queueing/token_usage.h"

#include <algorithm>
#include <string>
#include <utility>

namespace sardinelb::bench {

namespace {

// Bytes of prompt per token; the estimators have to learn it.
constexpr std::int64_t bytesPerToken = 4;
constexpr std::uint32_t mostAttempts = 3;

const pool_id& modelPool()
{
    static const pool_id id("pool");
    return id;
}

const model_id& modelName()
{
    static const model_id id("model");
    return id;
}

std::vector<runner_view> viewsFor(const fleet_shape& shape)
{
    std::vector<runner_view> views(shape.runners);
    for (std::size_t index = 0; index < views.size(); ++index) {
        views[index].runner = runnerNamed(index);
        views[index].pool = modelPool();
        views[index].zone = availability_zone_id("zone-" + std::to_string(index % shape.zones));
        views[index].agentIncarnation = incarnation(1);
    }
    return views;
}

}

fleet_model::fleet_model(
    const fleet_shape& shape, const policy& chosen, std::vector<model_request>& requests, std::uint64_t seed)
    : m_shape(shape)
    , m_policy(chosen)
    , m_requests(requests)
    , m_entries(shape.entries)
    , m_agents(shape.runners)
    , m_flights(requests.size())
{
    const std::vector<runner_view> views = viewsFor(m_shape);
    for (std::size_t index = 0; index < m_entries.size(); ++index)
        m_entries[index].router = m_policy.makeRouter(m_shape, views, index, seed * m_entries.size() + index);
    for (std::size_t index = 0; index < m_agents.size(); ++index) {
        agent_state& agent = m_agents[index];
        agent.id = views[index].runner;
        agent.queue = m_policy.makeQueue(m_shape);
        agent.engine = std::make_unique<batching_runner>(m_shape, 1.0, m_loop,
            batching_runner::hooks { [this, index](std::size_t request) { firstToken(index, request); },
                [this, index](std::size_t request) { lastToken(index, request); } });
        addListeners(agent);
        // Agents do not report in step with each other.
        const auto offset = static_cast<duration::rep>(index) * m_shape.reportPeriod / static_cast<duration::rep>(m_agents.size());
        m_loop.at(time_point(offset), [this, index] { tick(index); });
    }
}

fleet_model::~fleet_model() = default;

void fleet_model::addListeners(agent_state& agent)
{
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
        if (m_entries[entry].router.uses(agent.id))
            agent.listeners.push_back(entry);
    }
}

void fleet_model::run(time_point end)
{
    m_end = end;
    scheduleNextArrival();
    m_loop.runUntil(end);
}

void fleet_model::scheduleNextArrival()
{
    if (m_nextArrival == m_requests.size())
        return;
    const std::size_t request = m_nextArrival++;
    m_loop.at(m_requests[request].arrival, [this, request] {
        arrive(request);
        scheduleNextArrival();
    });
}

void fleet_model::arrive(std::size_t request)
{
    const model_request& arrived = m_requests[request];
    entry_state& entry = m_entries[arrived.entry];
    entry.retryBudget = std::min(100.0, entry.retryBudget + m_policy.retryRatio);
    m_flights[request].cost = entry.estimator.estimate(
        arrived.team, modelName(), byte_count(arrived.promptTokens * bytesPerToken), token_count(arrived.bound));
    const time_point due = arrived.arrival + arrived.answerWithin;
    // Events after the end would only make the others slower.
    if (due <= m_end)
        m_loop.at(due, [this, request] { giveUp(request); });
    send(request);
}

void fleet_model::send(std::size_t request)
{
    flight& current = m_flights[request];
    entry_state& entry = m_entries[m_requests[request].entry];
    route_request wanted;
    wanted.request = request_id(std::to_string(request));
    wanted.pool = modelPool();
    wanted.cost = current.cost;
    wanted.excluded = current.tried;
    const auto chosen = entry.router.choose(wanted, m_loop.now());
    if (!chosen) {
        m_requests[request].refused = true;
        current.ended = true;
        return;
    }
    current.agent = indexOf(*chosen);
    current.tried.push_back(*chosen);
    const std::uint32_t number = ++current.number;
    entry.router.onAttemptStarted(attemptOf(request), *chosen, current.cost, m_loop.now());
    m_loop.at(m_loop.now() + m_shape.latency, [this, request, number] { submit(request, number); });
}

void fleet_model::submit(std::size_t request, std::uint32_t number)
{
    flight& current = m_flights[request];
    if (current.ended || current.number != number)
        return;
    agent_state& agent = m_agents[current.agent];
    const refusal_reason refusal = agent.queue.admit(queuedFor(request), m_loop.now());
    if (refusal != refusal_reason::None)
        refuse(request, agent);
    poll(current.agent);
    if (refusal == refusal_reason::None)
        toEntry(
            request, [](entry_state&, const attempt_id&) {}, reportOf(agent));
}

void fleet_model::refuse(std::size_t request, agent_state& agent)
{
    toEntry(
        request,
        [this, request](entry_state& entry, const attempt_id& attempt) {
            entry.router.onAttemptFinished(attempt, execution_outcome::NotRun, true, m_loop.now());
            flight& current = m_flights[request];
            if (current.ended)
                return;
            if (current.number < mostAttempts && entry.retryBudget >= 1) {
                entry.retryBudget -= 1;
                send(request);
                return;
            }
            current.ended = true;
            m_requests[request].refused = true;
        },
        reportOf(agent));
}

void fleet_model::giveUp(std::size_t request)
{
    flight& current = m_flights[request];
    if (current.ended)
        return;
    current.ended = true;
    entry_state& entry = m_entries[m_requests[request].entry];
    // The end says nothing about the runner.
    entry.router.onAttemptFinished(attemptOf(request), execution_outcome::NotRun, true, m_loop.now());
    const std::size_t agent = current.agent;
    m_loop.at(m_loop.now() + m_shape.latency, [this, agent, request] { cancelAt(agent, request); });
}

void fleet_model::cancelAt(std::size_t index, std::size_t request)
{
    agent_state& agent = m_agents[index];
    if (agent.queue.remove(attemptOf(request)))
        return;
    takeProgress(agent, request);
    agent.engine->stop(request);
    std::erase(agent.running, request);
    agent.generated.erase(request);
    agent.queue.onAttemptFinished(attemptOf(request), m_loop.now());
    poll(index);
}

void fleet_model::poll(std::size_t index)
{
    agent_state& agent = m_agents[index];
    for (const queue_action& action : agent.queue.poll(m_loop.now()))
        apply(index, action);
    const std::optional<time_point> next = agent.queue.nextDeadline();
    if (!next || (agent.pollAt && *agent.pollAt <= *next && *agent.pollAt > m_loop.now()))
        return;
    agent.pollAt = *next;
    m_loop.at(*next, [this, index, time = *next] {
        if (m_agents[index].pollAt == time)
            poll(index);
    });
}

void fleet_model::apply(std::size_t index, const queue_action& action)
{
    agent_state& agent = m_agents[index];
    const std::size_t request = requestOf(action.attempt);
    switch (action.kind) {
    case queue_action_kind::Dispatch:
    case queue_action_kind::Resume:
        startOn(agent, request);
        break;
    case queue_action_kind::Pause:
        takeProgress(agent, request);
        agent.engine->stop(request);
        std::erase(agent.running, request);
        break;
    case queue_action_kind::Refuse:
        refuse(request, agent);
        break;
    }
}

void fleet_model::startOn(agent_state& agent, std::size_t request)
{
    const model_request& current = m_requests[request];
    agent.running.push_back(request);
    agent.engine->start(request, static_cast<double>(current.promptTokens), static_cast<double>(current.tokens),
        static_cast<double>(agent.generated[request]));
}

void fleet_model::takeProgress(agent_state& agent, std::size_t request)
{
    const std::int64_t tokens = agent.engine->takeProgress(request);
    if (tokens <= 0)
        return;
    agent.generated[request] += tokens;
    agent.queue.onAttemptProgress(attemptOf(request), token_count(tokens), m_loop.now());
}

void fleet_model::tick(std::size_t index)
{
    agent_state& agent = m_agents[index];
    for (const std::size_t request : agent.running)
        takeProgress(agent, request);
    poll(index);
    const load_report report = reportOf(agent);
    m_loop.at(m_loop.now() + m_shape.latency, [this, index, report] {
        for (const std::size_t entry : m_agents[index].listeners)
            m_entries[entry].router.onLoadReport(report, m_loop.now());
    });
    m_loop.at(m_loop.now() + m_shape.reportPeriod, [this, index] { tick(index); });
}

void fleet_model::firstToken(std::size_t index, std::size_t request)
{
    m_loop.at(m_loop.now() + m_shape.latency, [this, request] {
        if (m_flights[request].ended || m_requests[request].firstTokenAt)
            return;
        m_requests[request].firstTokenAt = m_loop.now();
        m_entries[m_requests[request].entry].router.onFirstChunk(attemptOf(request), m_loop.now());
    });
    takeProgress(m_agents[index], request);
}

void fleet_model::lastToken(std::size_t index, std::size_t request)
{
    agent_state& agent = m_agents[index];
    takeProgress(agent, request);
    agent.engine->stop(request);
    std::erase(agent.running, request);
    agent.generated.erase(request);
    agent.queue.onAttemptFinished(attemptOf(request), m_loop.now());
    poll(index);
    toEntry(
        request,
        [this, request](entry_state& entry, const attempt_id& attempt) {
            model_request& answered = m_requests[request];
            if (std::exchange(m_flights[request].ended, true))
                return;
            answered.answeredAt = m_loop.now();
            entry.router.onAttemptFinished(attempt, execution_outcome::Completed, false, m_loop.now());
            entry.estimator.observe(answered.team, modelName(), byte_count(answered.promptTokens * bytesPerToken),
                token_count(answered.bound), { token_count(answered.promptTokens), token_count(answered.tokens) });
        },
        reportOf(agent));
}

void fleet_model::toEntry(
    std::size_t request, std::function<void(entry_state&, const attempt_id&)> handle, const load_report& report)
{
    m_loop.at(m_loop.now() + m_shape.latency, [this, request, report, handle = std::move(handle), attempt = attemptOf(request)] {
        entry_state& entry = m_entries[m_requests[request].entry];
        if (entry.router.uses(report.runner))
            entry.router.onLoadReport(report, m_loop.now());
        handle(entry, attempt);
    });
}

load_report fleet_model::reportOf(const agent_state& agent) const
{
    load_report report;
    report.runner = agent.id;
    report.queued = agent.queue.queued();
    report.running = agent.queue.running();
    report.slots = m_shape.slots;
    report.backlog = agent.queue.backlog();
    report.tokenInterval = agent.queue.tokenInterval();
    return report;
}

attempt_id fleet_model::attemptOf(std::size_t request) const
{
    return { request_id(std::to_string(request)), m_flights[request].number };
}

queued_request fleet_model::queuedFor(std::size_t request) const
{
    const model_request& wanted = m_requests[request];
    queued_request queued;
    queued.attempt = attemptOf(request);
    queued.team = wanted.team;
    queued.serviceClass = wanted.serviceClass;
    queued.weight = wanted.weight;
    queued.cost = m_flights[request].cost;
    queued.answerBy = wanted.arrival + wanted.answerWithin;
    queued.dispatchBy = queued.answerBy;
    queued.preemptible = true;
    return queued;
}

std::size_t fleet_model::requestOf(const attempt_id& attempt) { return std::stoul(attempt.request.value()); }

}
