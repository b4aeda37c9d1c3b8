#include "tests/fakes/serving_world.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

namespace sardinelb::fakes {

namespace {

using namespace std::chrono_literals;

constexpr time_point start(500ms);

world_settings services(std::size_t agents)
{
    world_settings settings;
    settings.entries = 1;
    settings.agents = agents;
    settings.kind = pool_kind::Service;
    return settings;
}

// Makes a call, usually 60 ms, outlast the silence timeout of the transport (4 s), so that its result finds no connection.
constexpr int outlastsSilence = 100;
// Makes a call outlast the time that a stopping agent leaves for its last frames (200 ms), by far.
constexpr int outlastsLastFrames = 40;
// Makes 20 queued calls outlast the bound on draining (5 s).
constexpr int outlastsDrain = 6;

void slowDownAll(serving_world& world, int slowness)
{
    for (std::size_t agent = 0; agent < world.agents(); ++agent)
        world.agent(agent).runner().slowDown(slowness);
}

void expectNoViolation(const serving_world& world, bool undisturbed)
{
    for (const std::string& violation : world.violations(undisturbed))
        ADD_FAILURE() << violation;
}

}

// Guards against "not run" from an agent that has forgotten the attempt: the entry was paused for longer than results
// are kept, and its request is not due yet.
TEST(ServingDirected, EntryPausedBeyondRetentionDoesNotRepeatACall)
{
    world_settings settings = services(2);
    settings.answerWithin = 300s;
    serving_world world(settings);
    slowDownAll(world, outlastsSilence);
    request_id id;
    world.events().at(start, [&] { id = world.call(0, request_kind::NonIdempotentCall); });
    world.events().at(start + 20ms, [&] { world.pauseEntry(0, 100s, process_host::wake_order::Input); });
    world.events().runUntil(time_point(600s));
    EXPECT_EQ(world.executions(id), 1);
    expectNoViolation(world, false);
}

// Guards against the same when the answer has become due during the pause.
TEST(ServingDirected, EntryPausedBeyondRetentionAndDeadlineDoesNotClaimNotRun)
{
    for (const auto order : { process_host::wake_order::Input, process_host::wake_order::Tick }) {
        world_settings settings = services(2);
        settings.answerWithin = 30s;
        serving_world world(settings);
        slowDownAll(world, outlastsSilence);
        request_id id;
        world.events().at(start, [&] { id = world.call(0, request_kind::NonIdempotentCall); });
        world.events().at(start + 20ms, [&] { world.pauseEntry(0, 100s, order); });
        world.events().runUntil(time_point(600s));
        EXPECT_EQ(world.executions(id), 1);
        expectNoViolation(world, false);
    }
}

// Guards against a query after the answer was due, when the agent may have forgotten the attempt. No tick comes between
// the loss and the new connection.
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

// Guards against a late submit at a restarted agent. The agent's earlier incarnation may have confirmed a cancel of the
// attempt, and its tombstone died with it.
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

// Guards against an agent that takes work for a drained runner after its restart, before it knows the configuration.
TEST(ServingDirected, RestartedAgentTakesNoWorkBeforeItIsConfigured)
{
    serving_world world(services(1));
    world.agent(0).setConfigurationDelay(5s);
    world.events().at(start, [&] { world.agent(0).configure(runner_target::Draining); });
    world.events().at(start + 6s, [&] { world.killAgent(0, 100ms); });
    request_id id;
    world.events().at(start + 7s, [&] { id = world.call(0, request_kind::NonIdempotentCall); });
    world.events().runUntil(time_point(150s));
    EXPECT_EQ(world.executions(id), 0);
    expectNoViolation(world, false);
}

// Guards against a drain whose refused requests use up the team's retry budget, so that some get no answer, and against
// one that lets its runner work off the queue.
TEST(ServingDirected, QueuedRequestsOfADrainedRunnerAreAnsweredByAnother)
{
    world_settings settings = services(2);
    settings.answerWithin = 30s;
    serving_world world(settings);
    slowDownAll(world, outlastsDrain);
    constexpr int calls = 40;
    world.events().at(start, [&] {
        for (int call = 0; call < calls; ++call)
            world.call(0, request_kind::NonIdempotentCall);
    });
    world.events().at(start + 100ms, [&] { world.drain(0); });
    world.events().runUntil(time_point(150s));
    expectNoViolation(world, true);
}

// Guards against the same at a planned stop of the agent.
TEST(ServingDirected, QueuedRequestsOfAStoppedAgentAreAnsweredByAnother)
{
    world_settings settings = services(2);
    settings.answerWithin = 30s;
    serving_world world(settings);
    constexpr int calls = 40;
    world.events().at(start, [&] {
        for (int call = 0; call < calls; ++call)
            world.call(0, request_kind::NonIdempotentCall);
    });
    world.events().at(start + 100ms, [&] { world.stopAgent(0, 1s); });
    world.events().runUntil(time_point(150s));
    expectNoViolation(world, true);
}

// Guards against planned stops that do not wait for calls that run.
TEST(ServingDirected, PlannedStopsWaitForRunningCalls)
{
    serving_world world(services(2));
    slowDownAll(world, outlastsLastFrames);
    world.events().at(start, [&] {
        world.call(0, request_kind::NonIdempotentCall);
        world.call(0, request_kind::IdempotentCall);
    });
    world.events().at(start + 100ms, [&] {
        world.stopAgent(0, 1s);
        world.stopAgent(1, 1s);
        world.stopEntry(0, 1s);
    });
    world.events().runUntil(time_point(150s));
    expectNoViolation(world, true);
}

}
