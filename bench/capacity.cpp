// Measures the slopes from which docs/CAPACITY.md computes the cost of each role: memory per configured team, processor
// time per request at an entry and at an agent, state per limited team, and the size of the frames that control takes.
// Processor times are wall-clock times of one thread and depend on the machine.

#include "coordination/agent/agent_core.h"
#include "coordination/entry/entry_core.h"
#include "protocol/frame_codec.h"
#include "state/name_index.h"
#include "state/snapshot_json.h"

#include <nlohmann/json.hpp>

#include <malloc.h>

#include <chrono>
#include <iostream>
#include <memory>
#include <string>
#include <utility>

namespace sardinelb {

namespace {

using steady = std::chrono::steady_clock;

void row(const std::string& figure, int size, double value, const std::string& unit)
{
    const nlohmann::json line { { "bench", "capacity" }, { "case", figure + "/" + std::to_string(size) }, { "seed", 0 },
        { "ours", value }, { "baseline", nullptr }, { "ratio", nullptr }, { "unit", unit } };
    std::cout << line.dump() << "\n";
}

double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

configuration makeConfiguration(int teams, int runners)
{
    configuration config;
    config.version = config_version(1);
    config.namingSchemes = { "billing", "field", "asset" };
    config.pools[pool_id("pool")] = { pool_id("pool"), pool_kind::Model, runners, config_version(1) };
    for (int i = 0; i < teams; ++i) {
        team entry;
        entry.id = team_id("team-" + std::to_string(i));
        entry.aliases = { { "billing", "B-" + std::to_string(i) }, { "field", "F-" + std::to_string(i) } };
        entry.keyDigests = { std::string(64 - std::to_string(i).size(), 'a') + std::to_string(i) };
        entry.terms = { token_count(100'000), 100, service_class::Standard, std::chrono::seconds(30) };
        config.teams.emplace(entry.id, entry);
    }
    for (int i = 0; i < runners; ++i) {
        const std::string name = "runner-" + std::to_string(i);
        config.runners[runner_id(name)] = { runner_id(name), pool_id("pool"), instance_id(name),
            availability_zone_id("zone"), "127.0.0.1:7000", runner_target::Serving, false, config_version(1) };
    }
    return config;
}

void measureConfiguration(int teams)
{
    const double before = heapBytes();
    const auto config = std::make_unique<configuration>(makeConfiguration(teams, 600));
    const auto names = name_index::build(*config);
    row("config-memory", teams, (heapBytes() - before) / 1e6, "MB");
    row("config-snapshot", teams, static_cast<double>(snapshotToText(*config).size()) / 1e6, "MB");
}

derived_limits wideLimits()
{
    return limitsFor({ token_count(1'000'000'000), 1e6, service_class::Standard, std::chrono::seconds(30) });
}

// Returns the submit that the entry has just sent, and its receiver.
std::pair<runner_id, submit_message> findSubmit(entry_core& entry)
{
    for (const entry_action& action : entry.takeActions()) {
        const auto* sent = std::get_if<send_to_peer_action>(&action);
        if (sent && std::holds_alternative<submit_message>(sent->message))
            return { runner_id(sent->peer.value()), std::get<submit_message>(sent->message) };
    }
    return {};
}

// Runs requests of 256 tokens, one chunk per token, through an entry core that knows `runners` runners.
void measureEntry(int runners)
{
    entry_settings settings;
    settings.routing.self = daemon_id("entry");
    entry_core entry(settings, [](const team_id&) { return wideLimits(); });
    time_point now { std::chrono::seconds(1) };
    std::vector<runner_view> views;
    views.reserve(static_cast<std::size_t>(runners));
    for (int i = 0; i < runners; ++i)
        views.push_back({ runner_id("runner-" + std::to_string(i)), pool_id("pool"), {}, true, {} });
    entry.setRunners(views);
    for (const runner_id& wanted : entry.wantedConnections())
        entry.onPeerConnected(wanted, incarnation(1), now);
    entry.takeActions();
    constexpr int requests = 500;
    constexpr std::uint32_t tokens = 256;
    const auto start = steady::now();
    for (int i = 0; i < requests; ++i) {
        now += std::chrono::milliseconds(60);
        caller_request request;
        request.id = request_id("r" + std::to_string(i));
        request.team = team_id("team");
        request.pool = pool_id("pool");
        request.limits = wideLimits();
        request.idempotent = true;
        request.maxTokens = tokens;
        request.body = std::string(1000, 'x');
        entry.onRequest(request, now);
        const auto [receiver, submit] = findSubmit(entry);
        load_report load;
        load.runner = receiver;
        entry.onMessage(receiver, admission_message { submit.attempt, refusal_reason::None, load }, now);
        for (std::uint32_t token = 0; token < tokens; ++token)
            entry.onMessage(receiver, chunk_message { submit.attempt, token, token, 1, "token " }, now);
        finish_message finish;
        finish.attempt = submit.attempt;
        finish.outcome = execution_outcome::Completed;
        finish.chunkCount = tokens;
        finish.load = load;
        entry.onMessage(receiver, finish, now);
        entry.tick(now);
        entry.takeActions();
    }
    const double micros = std::chrono::duration<double, std::micro>(steady::now() - start).count();
    row("entry-core-per-request", runners, micros / requests, "us of 1 core");
}

// Runs attempts of 256 tokens through an agent core that still remembers `remembered` ended attempts.
void measureAgent(int remembered)
{
    agent_settings settings;
    settings.runner = runner_id("runner");
    settings.ownIncarnation = incarnation(1);
    agent_core agent(settings);
    time_point now { std::chrono::seconds(1) };
    agent.configure(runner_target::Serving, now);
    agent.onPeerConnected(daemon_id("entry"), incarnation(1), now);
    const auto runAttempt = [&](int number, std::uint32_t tokens) {
        submit_message submit;
        submit.attempt = { request_id("r" + std::to_string(number)), 1 };
        submit.expectedIncarnation = incarnation(1);
        submit.team = team_id("team");
        submit.idempotent = true;
        submit.dispatchWithin = submit.answerWithin = std::chrono::seconds(30);
        submit.cost = { token_count(250), token_count(tokens) };
        submit.maxTokens = tokens;
        agent.onMessage(daemon_id("entry"), submit, now);
        for (std::uint32_t token = 0; token < tokens; ++token)
            agent.onTokens(submit.attempt, 1, token, 1, "token ", now);
        agent.onCallCompleted(submit.attempt, 1, { token_count(250), token_count(tokens) }, now);
        agent.tick(now);
        agent.takeActions();
    };
    const double before = heapBytes();
    for (int i = 0; i < remembered; ++i)
        runAttempt(i, 1);
    row("agent-memory-remembered", remembered, (heapBytes() - before) / 1e6, "MB");
    constexpr int attempts = 500;
    const auto start = steady::now();
    for (int i = 0; i < attempts; ++i)
        runAttempt(remembered + i, 256);
    const double micros = std::chrono::duration<double, std::micro>(steady::now() - start).count();
    row("agent-core-per-attempt", remembered, micros / attempts, "us of 1 core");
}

void measureLimits(int teams)
{
    const double before = heapBytes();
    limit_owner owner(daemon_id("entry-0"));
    time_point now { std::chrono::seconds(1) };
    static_cast<void>(owner.setDaemons({ daemon_id("entry-0") }, now));
    now += std::chrono::seconds(60);
    const derived_limits limits = wideLimits();
    const auto start = steady::now();
    for (int i = 0; i < teams; ++i) {
        lease_request_message request;
        request.team = team_id("team-" + std::to_string(i));
        request.entry = daemon_id("entry-1");
        request.sequence = 1;
        request.wanted = token_count(1000);
        request.requestsWanted = 1;
        owner.answer(request, incarnation(1), limits, now);
    }
    const double micros = std::chrono::duration<double, std::micro>(steady::now() - start).count();
    row("limit-owner-per-message", teams, micros / teams, "us of 1 core");
    row("limit-owner-memory", teams, (heapBytes() - before) / 1e6, "MB");
}

void measureFrames()
{
    const auto bytesOf = [](const peer_message& message) {
        constexpr double lengthBytes = 4;
        return lengthBytes
            + static_cast<double>(encodeFrame({ daemon_id("entry-100"), incarnation(1), config_version(1), message }).size());
    };
    load_report load;
    load.runner = runner_id("assist-llm-100");
    lease_requests_message requests;
    requests.requests.resize(1);
    requests.requests[0].team = team_id("team-10000");
    requests.requests[0].entry = daemon_id("entry-100");
    lease_grants_message grants;
    grants.grants.resize(1);
    grants.grants[0].team = team_id("team-10000");
    grants.grants[0].entry = daemon_id("entry-100");
    row("frame-heartbeat", 1, bytesOf(std::monostate()), "bytes");
    row("frame-load-update", 1, bytesOf(load_update_message { load }), "bytes");
    row("frame-lease-request", 1, bytesOf(requests), "bytes");
    row("frame-lease-grant", 1, bytesOf(grants), "bytes");
    row("frame-changes-request", 1, bytesOf(changes_request_message {}), "bytes");
}

}

}

int main()
{
    using namespace sardinelb;
    for (const int teams : { 1000, 4000, 12000 })
        measureConfiguration(teams);
    for (const int runners : { 20, 100, 600 })
        measureEntry(runners);
    for (const int remembered : { 0, 1000, 4000 })
        measureAgent(remembered);
    for (const int teams : { 100, 1000, 12000 })
        measureLimits(teams);
    measureFrames();
    return 0;
}
