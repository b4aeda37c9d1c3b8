#include "bench/model/policy.h"

#include "bench/model/baseline_router.h"
#include "bench/model/fifo_queue.h"
#include "coordination/queueing/request_queue.h"
#include "coordination/routing/router.h"

#include <limits>
#include <memory>
#include <unordered_set>

namespace sardinelb::bench {

namespace {

// Retries per request that the product's retry budgets allow (derived_limits.h).
constexpr double productRetryRatio = 0.1;

availability_zone_id zoneOf(const fleet_shape& shape, std::size_t index)
{
    return availability_zone_id("zone-" + std::to_string(index % shape.zones));
}

router_hooks makeProductRouter(
    const fleet_shape& shape, const std::vector<runner_view>& views, std::size_t entry, std::uint64_t seed)
{
    router_settings settings;
    settings.self = daemon_id("entry-" + std::to_string(entry));
    settings.zone = zoneOf(shape, entry);
    auto routing = std::make_shared<router>(settings, seed);
    routing->setRunners(views);
    const auto chosen = routing->subset(views.front().pool);
    auto used = std::make_shared<std::unordered_set<runner_id>>(chosen.begin(), chosen.end());
    // The entry connects to its subset only.
    std::vector<runner_view> connected = views;
    for (runner_view& view : connected)
        view.agentIncarnation = incarnation(used->contains(view.runner) ? 1 : 0);
    routing->setRunners(connected);

    router_hooks hooks;
    hooks.choose = [routing](const route_request& request, time_point now) -> std::optional<runner_id> {
        const auto decision = routing->choose(request, now);
        return decision.has_value() ? std::optional(decision.value().runner) : std::nullopt;
    };
    hooks.uses = [used](const runner_id& runner) { return used->contains(runner); };
    hooks.onLoadReport = [routing](const load_report& report, time_point now) { routing->onLoadReport(report, now); };
    hooks.onAttemptStarted = [routing](const attempt_id& attempt, const runner_id& runner, const request_cost& cost,
                                 time_point now) { routing->onAttemptStarted(attempt, runner, cost, now); };
    hooks.onFirstChunk = [routing](const attempt_id& attempt, time_point now) { routing->onFirstChunk(attempt, now); };
    hooks.onAttemptFinished = [routing](const attempt_id& attempt, execution_outcome outcome, bool refused, time_point now) {
        routing->onAttemptFinished(attempt, outcome, refused, now);
    };
    return hooks;
}

queue_hooks makeProductQueue(const fleet_shape& shape)
{
    queue_settings settings;
    settings.slots = shape.slots;
    auto queue = std::make_shared<request_queue>(settings);
    queue_hooks hooks;
    hooks.admit = [queue](const queued_request& request, time_point now) { return queue->admit(request, now); };
    hooks.poll = [queue](time_point now) { return queue->poll(now); };
    hooks.nextDeadline = [queue] { return queue->nextDeadline(); };
    hooks.onAttemptProgress = [queue](const attempt_id& attempt, token_count tokens, time_point now) {
        queue->onAttemptProgress(attempt, tokens, now);
    };
    hooks.onAttemptFinished = [queue](const attempt_id& attempt, time_point now) { queue->onAttemptFinished(attempt, now); };
    hooks.remove = [queue](const attempt_id& attempt) { return queue->remove(attempt); };
    hooks.queued = [queue] { return queue->queued(); };
    hooks.running = [queue] { return queue->running(); };
    hooks.backlog = [queue] { return queue->backlog(); };
    hooks.tokenInterval = [queue] { return queue->tokenInterval(); };
    return hooks;
}

router_hooks makeBaselineRouter(
    baseline_router::kind kind, const std::vector<runner_view>& views, std::uint64_t seed)
{
    auto routing = std::make_shared<baseline_router>(kind, views, seed);
    const bool usesReports = kind == baseline_router::kind::LeastLoaded;
    router_hooks hooks;
    hooks.choose = [routing](const route_request&, time_point) { return std::optional(routing->choose()); };
    hooks.uses = [usesReports](const runner_id&) { return usesReports; };
    hooks.onLoadReport = [routing](const load_report& report, time_point) { routing->onLoadReport(report); };
    hooks.onAttemptStarted = [routing](const attempt_id&, const runner_id& runner, const request_cost&, time_point) {
        routing->onAttemptStarted(runner);
    };
    hooks.onFirstChunk = [](const attempt_id&, time_point) {};
    hooks.onAttemptFinished = [](const attempt_id&, execution_outcome, bool, time_point) {};
    return hooks;
}

queue_hooks makeFifoQueue(const fleet_shape& shape)
{
    auto queue = std::make_shared<fifo_queue>(shape.slots);
    const duration interval = shape.tokenInterval;
    queue_hooks hooks;
    hooks.admit = [queue](const queued_request& request, time_point) { return queue->admit(request); };
    hooks.poll = [queue](time_point) { return queue->poll(); };
    hooks.nextDeadline = [] { return std::optional<time_point>(); };
    hooks.onAttemptProgress = [queue](const attempt_id& attempt, token_count tokens, time_point) {
        queue->onAttemptProgress(attempt, tokens);
    };
    hooks.onAttemptFinished = [queue](const attempt_id& attempt, time_point) { queue->onAttemptFinished(attempt); };
    hooks.remove = [queue](const attempt_id& attempt) { return queue->remove(attempt); };
    hooks.queued = [queue] { return queue->queued(); };
    hooks.running = [queue] { return queue->running(); };
    hooks.backlog = [queue] { return queue->backlog(); };
    hooks.tokenInterval = [interval] { return interval; };
    return hooks;
}

policy baseline(const char* name, baseline_router::kind kind)
{
    policy made;
    made.name = name;
    made.makeRouter = [kind](const fleet_shape&, const std::vector<runner_view>& views, std::size_t,
                          std::uint64_t seed) { return makeBaselineRouter(kind, views, seed); };
    made.makeQueue = makeFifoQueue;
    return made;
}

}

policy sardinelbPolicy()
{
    policy made;
    made.name = "sardinelb";
    made.makeRouter = makeProductRouter;
    made.makeQueue = makeProductQueue;
    made.retryRatio = productRetryRatio;
    return made;
}

policy leastLoadedPolicy() { return baseline("fcfs-least-loaded", baseline_router::kind::LeastLoaded); }

policy roundRobinPolicy() { return baseline("round-robin", baseline_router::kind::RoundRobin); }

policy randomPolicy() { return baseline("random", baseline_router::kind::Random); }

}
