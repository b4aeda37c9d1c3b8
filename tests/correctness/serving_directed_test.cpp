#include "tests/fakes/serving_simulation.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

namespace sardinelb::fakes {

namespace {

using namespace std::chrono_literals;

constexpr time_point start(500ms);

simulation_settings services(std::size_t agents)
{
    simulation_settings settings;
    settings.entries = 1;
    settings.agents = agents;
    settings.kind = pool_kind::Service;
    return settings;
}

// Factors of the duration of a call (60 ms). This one makes it outlast the silence timeout of the transport (4 s), so
// that there is no connection for its result.
constexpr int outlastsSilence = 100;
// Makes a call far outlast the time that a stopping agent allows for its last frames (200 ms).
constexpr int outlastsLastFrames = 40;
// Makes 20 queued calls outlast the time bound of a drain (5 s).
constexpr int outlastsDrain = 6;

void slowDownAll(serving_simulation& simulation, int slowness)
{
    for (std::size_t agent = 0; agent < simulation.agents(); ++agent)
        simulation.agent(agent).runner().slowDown(slowness);
}

void expectNoViolation(const serving_simulation& simulation, bool onlyPlannedOperations)
{
    for (const std::string& violation : simulation.violations(onlyPlannedOperations))
        ADD_FAILURE() << violation;
}

}

// Guards against a "not run" from an agent that has discarded the attempt: the entry is paused for longer than the
// retention time of results, while its request is not due yet.
TEST(ServingDirected, EntryPausedBeyondRetentionDoesNotRepeatACall)
{
    simulation_settings settings = services(2);
    settings.answerWithin = 300s;
    serving_simulation simulation(settings);
    slowDownAll(simulation, outlastsSilence);
    request_id id;
    simulation.events().at(start, [&] { id = simulation.call(0, request_kind::NonIdempotentCall); });
    simulation.events().at(start + 20ms, [&] { simulation.pauseEntry(0, 100s, process_host::wake_order::Input); });
    simulation.events().runUntil(time_point(600s));
    EXPECT_EQ(simulation.executions(id), 1);
    expectNoViolation(simulation, false);
}

// Guards against the same failure when the answer becomes due during the pause.
TEST(ServingDirected, EntryPausedBeyondRetentionAndDeadlineDoesNotClaimNotRun)
{
    for (const auto order : { process_host::wake_order::Input, process_host::wake_order::Tick }) {
        simulation_settings settings = services(2);
        settings.answerWithin = 30s;
        serving_simulation simulation(settings);
        slowDownAll(simulation, outlastsSilence);
        request_id id;
        simulation.events().at(start, [&] { id = simulation.call(0, request_kind::NonIdempotentCall); });
        simulation.events().at(start + 20ms, [&] { simulation.pauseEntry(0, 100s, order); });
        simulation.events().runUntil(time_point(600s));
        EXPECT_EQ(simulation.executions(id), 1);
        expectNoViolation(simulation, false);
    }
}

// Guards against a query after the answer was due, when the agent may have discarded the attempt. There is no tick
// between the loss of the connection and the reconnect.
TEST(ServingDirected, EntryDoesNotAskForAnAttemptThatIsOverdue)
{
    const runner_id runner("runner");
    entry_settings settings;
    settings.routing.self = daemon_id("entry");
    entry_core core(settings, [](const team_id&) { return std::nullopt; });
    core.setRunners({ { runner, pool_id("pool"), {}, true, {} } });
    core.onPeerConnected(runner, incarnation(1), start);
    caller_request request;
    request.id = request_id("call");
    request.pool = pool_id("pool");
    request.kind = pool_kind::Service;
    request.limits.answerWithin = 30s;
    request.limits.requestBurst = 10;
    request.limits.inFlight = 10;
    core.onRequest(request, start);
    core.onPeerLost(runner, start + 1s);
    core.takeActions();
    core.onPeerConnected(runner, incarnation(1), start + 31s);
    std::vector<execution_outcome> told;
    for (const entry_action& action : core.takeActions()) {
        EXPECT_FALSE(std::holds_alternative<send_to_peer_action>(action));
        if (const auto* error = std::get_if<answer_error_action>(&action))
            told.push_back(error->error.execution);
    }
    EXPECT_EQ(told, std::vector { execution_outcome::Unknown });
}

// Guards against believing a refusal of an earlier attempt, or of another agent, for the present one: a call that runs would
// be reported as not run, or run twice.
TEST(ServingDirected, RefusalsOfEarlierAttemptsAndOtherAgentsAreIgnored)
{
    entry_settings settings;
    settings.routing.self = daemon_id("entry");
    entry_core core(settings, [](const team_id&) { return std::nullopt; });
    core.setRunners({ { runner_id("a"), pool_id("pool"), {}, true, {} }, { runner_id("b"), pool_id("pool"), {}, true, {} } });
    core.onPeerConnected(runner_id("a"), incarnation(1), start);
    core.onPeerConnected(runner_id("b"), incarnation(1), start);
    caller_request request;
    request.id = request_id("call");
    request.pool = pool_id("pool");
    request.kind = pool_kind::Service;
    request.limits.answerWithin = 30s;
    request.limits.requestBurst = 10;
    request.limits.inFlight = 10;
    core.onRequest(request, start);
    std::vector<send_to_peer_action> submits;
    const auto collect = [&] {
        for (const entry_action& action : core.takeActions()) {
            EXPECT_FALSE(std::holds_alternative<answer_error_action>(action));
            const auto* sent = std::get_if<send_to_peer_action>(&action);
            if (sent && std::holds_alternative<submit_message>(sent->message))
                submits.push_back(*sent);
        }
    };
    collect();
    ASSERT_EQ(submits.size(), 1U);
    const runner_id first(submits[0].peer.value());
    const attempt_id earlier { request.id, 1 };
    const attempt_id present { request.id, 2 };
    core.onMessage(first, admission_message { earlier, refusal_reason::Draining, {} }, start);
    core.tick(start + 1s);
    collect();
    ASSERT_EQ(submits.size(), 2U);
    ASSERT_NE(submits[1].peer, submits[0].peer);
    finish_message notRun;
    notRun.attempt = earlier;
    notRun.outcome = execution_outcome::NotRun;
    core.onMessage(first, admission_message { earlier, refusal_reason::Draining, {} }, start + 1s);
    core.onMessage(first, cancelled_message { earlier, true }, start + 1s);
    core.onMessage(first, notRun, start + 1s);
    core.onMessage(first, admission_message { present, refusal_reason::Draining, {} }, start + 1s);
    core.onMessage(first, cancelled_message { present, true }, start + 1s);
    core.tick(start + 2s);
    collect();
    EXPECT_EQ(submits.size(), 2U);
    EXPECT_EQ(core.inFlight(), 1U);
}

// Guards against a restarted agent that accepts a submit sent to its earlier incarnation. That incarnation may have
// confirmed a cancel of the attempt, and its tombstone is lost.
TEST(ServingDirected, AgentRefusesASubmitForItsEarlierIncarnation)
{
    agent_settings settings;
    settings.runner = runner_id("runner");
    settings.ownIncarnation = incarnation(2);
    agent_core core(settings);
    core.configure(runner_target::Serving, start);
    core.onPeerConnected(daemon_id("entry"), incarnation(1), start);
    submit_message late;
    late.attempt = { request_id("call"), 1 };
    late.expectedIncarnation = incarnation(1);
    late.kind = pool_kind::Service;
    late.dispatchWithin = 30s;
    late.answerWithin = 30s;
    core.onMessage(daemon_id("entry"), late, start);
    std::vector<refusal_reason> answers;
    for (const agent_action& action : core.takeActions()) {
        EXPECT_FALSE(std::holds_alternative<start_call_action>(action));
        const auto* sent = std::get_if<send_to_peer_action>(&action);
        if (const auto* admission = sent ? std::get_if<admission_message>(&sent->message) : nullptr)
            answers.push_back(admission->refusal);
    }
    EXPECT_EQ(answers, std::vector { refusal_reason::WrongIncarnation });
}

// Guards against a restarted agent that accepts work for a drained runner before it has read the configuration.
TEST(ServingDirected, RestartedAgentTakesNoWorkBeforeItIsConfigured)
{
    serving_simulation simulation(services(1));
    simulation.agent(0).setConfigurationDelay(5s);
    simulation.events().at(start, [&] { simulation.agent(0).configure(runner_target::Draining); });
    simulation.events().at(start + 6s, [&] { simulation.killAgent(0, 100ms); });
    request_id id;
    simulation.events().at(start + 7s, [&] { id = simulation.call(0, request_kind::NonIdempotentCall); });
    simulation.events().runUntil(time_point(150s));
    EXPECT_EQ(simulation.executions(id), 0);
    expectNoViolation(simulation, false);
}

// Guards against a drain whose refusals exhaust the team's retry budget, so that requests fail, and against a drained
// runner that still processes its queue.
TEST(ServingDirected, QueuedRequestsOfADrainedRunnerAreAnsweredByAnother)
{
    simulation_settings settings = services(2);
    settings.answerWithin = 30s;
    serving_simulation simulation(settings);
    slowDownAll(simulation, outlastsDrain);
    constexpr int calls = 40;
    simulation.events().at(start, [&] {
        for (int call = 0; call < calls; ++call)
            simulation.call(0, request_kind::NonIdempotentCall);
    });
    simulation.events().at(start + 100ms, [&] { simulation.drain(0); });
    simulation.events().runUntil(time_point(150s));
    expectNoViolation(simulation, true);
}

// Guards against the same failures at a planned stop of the agent.
TEST(ServingDirected, QueuedRequestsOfAStoppedAgentAreAnsweredByAnother)
{
    simulation_settings settings = services(2);
    settings.answerWithin = 30s;
    serving_simulation simulation(settings);
    constexpr int calls = 40;
    simulation.events().at(start, [&] {
        for (int call = 0; call < calls; ++call)
            simulation.call(0, request_kind::NonIdempotentCall);
    });
    simulation.events().at(start + 100ms, [&] { simulation.stopAgent(0, 1s); });
    simulation.events().runUntil(time_point(150s));
    expectNoViolation(simulation, true);
}

// Guards against planned stops that do not wait for running calls.
TEST(ServingDirected, PlannedStopsWaitForRunningCalls)
{
    serving_simulation simulation(services(2));
    slowDownAll(simulation, outlastsLastFrames);
    simulation.events().at(start, [&] {
        simulation.call(0, request_kind::NonIdempotentCall);
        simulation.call(0, request_kind::IdempotentCall);
    });
    simulation.events().at(start + 100ms, [&] {
        simulation.stopAgent(0, 1s);
        simulation.stopAgent(1, 1s);
        simulation.stopEntry(0, 1s);
    });
    simulation.events().runUntil(time_point(150s));
    expectNoViolation(simulation, true);
}

}
