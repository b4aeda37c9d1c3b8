#include "coordination/routing/router.h"

#include "coordination/routing/prefix_hints.h"
#include "coordination/routing/routed_runner.h"
#include "coordination/routing/runner_choice.h"
#include "coordination/routing/runner_pool.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <random>
#include <unordered_map>
#include <utility>

namespace sardinelb {

namespace {

// Maximum number of prefixes with known holders; takes about 3 MB.
constexpr std::size_t maxPrefixes = 16384;

// An attempt in flight.
struct routed_attempt {
    runner_id runner;
    time_point startedAt;
    bool isProbe = false;
    bool hasFirstChunk = false;
};

bool isExcluded(const routed_runner& runner, const route_request& request)
{
    return std::find(request.excluded.begin(), request.excluded.end(), runner.view.runner) != request.excluded.end();
}

std::vector<routed_runner*> candidatesIn(const std::vector<routed_runner*>& runners, const route_request& request)
{
    std::vector<routed_runner*> found;
    for (routed_runner* runner : runners) {
        if (canTakeWork(*runner) && !isExcluded(*runner, request))
            found.push_back(runner);
    }
    return found;
}

coordination_error noRunner(const pool_id& pool)
{
    return { coordination_errc::NoRunner, pool.value(), "no connected runner accepts the request" };
}

}

struct router::implementation {
    implementation(router_settings given, std::uint64_t seed)
        : settings(std::move(given))
        , random(seed)
        , hints(maxPrefixes)
    {
    }

    router_settings settings;
    std::mt19937_64 random;
    std::unordered_map<runner_id, routed_runner> runners;
    std::map<pool_id, runner_pool> pools;
    std::unordered_map<attempt_id, routed_attempt> attempts;
    prefix_hints hints;

    routed_runner* find(const runner_id& id)
    {
        const auto found = runners.find(id);
        return found == runners.end() ? nullptr : &found->second;
    }

    // Replaces the view from configuration and membership. Learned state is kept unless the agent has restarted.
    void update(const runner_view& view)
    {
        routed_runner& runner = runners[view.runner];
        const bool restarted = view.agentIncarnation.value() != 0
            && view.agentIncarnation != runner.lastIncarnation;
        if (restarted) {
            runner.load.forgetReport();
            hints.removeRunner(view.runner);
            runner.lastIncarnation = view.agentIncarnation;
        }
        runner.view = view;
    }

    void removeOthers(const std::vector<runner_view>& views)
    {
        std::vector<runner_id> kept;
        kept.reserve(views.size());
        for (const runner_view& view : views)
            kept.push_back(view.runner);
        std::sort(kept.begin(), kept.end());
        std::erase_if(
            runners, [&](const auto& entry) { return !std::binary_search(kept.begin(), kept.end(), entry.first); });
    }

    void rebuildPools()
    {
        std::map<pool_id, runner_pool> next;
        for (auto& [id, runner] : runners)
            next[runner.view.pool].add(runner);
        for (auto& [id, pool] : next) {
            if (const auto known = pools.find(id); known != pools.end())
                pool.copyTypicalTokens(known->second);
            pool.rank(settings);
        }
        pools = std::move(next);
    }

    std::vector<routed_runner*> candidates(const runner_pool& pool, const route_request& request) const
    {
        std::vector<routed_runner*> found = candidatesIn(pool.subset(), request);
        return found.empty() ? candidatesIn(pool.all(), request) : found;
    }

    // Marks candidates that have become slow as avoided, and returns those that may get more work.
    static std::vector<routed_runner*> healthyCandidates(
        const std::vector<routed_runner*>& candidates, const pool_baseline& baseline, time_point now)
    {
        std::vector<routed_runner*> healthy;
        for (routed_runner* runner : candidates) {
            if (isSlow(*runner, baseline))
                runner->health.avoid(now);
            if (runner->health.canTake(runner->load.ownInFlight()) && !isUnresponsive(*runner, now))
                healthy.push_back(runner);
        }
        return healthy;
    }

    // A runner that is due for a probe. Only first attempts serve as probes, since a retry has less time left.
    static routed_runner* probeCandidate(
        const std::vector<routed_runner*>& candidates, const route_request& request, time_point now)
    {
        if (!request.excluded.empty())
            return nullptr;
        const auto due = std::find_if(candidates.begin(), candidates.end(),
            [now](const auto* runner) { return runner->health.isProbeDue(now) && !isUnresponsive(*runner, now); });
        return due == candidates.end() ? nullptr : *due;
    }

    route_decision decide(
        runner_pool& pool, const route_request& request, const std::vector<routed_runner*>& found, time_point now)
    {
        const pool_baseline& baseline = pool.baseline(now);
        const runner_choice choice(pool, baseline, random);
        const std::vector<routed_runner*> healthy = healthyCandidates(found, baseline, now);
        const auto decision = [&](const routed_runner& runner, route_reason reason) {
            return route_decision { runner.view.runner, reason, runner.load.tokensPerSlot(),
                static_cast<int>(found.size()) };
        };
        if (found.size() == 1)
            return decision(*found.front(), route_reason::OnlyChoice);
        if (routed_runner* probed = healthy.empty() ? nullptr : probeCandidate(found, request, now)) {
            probed->health.onProbeChosen(now);
            probed->isProbeNext = true;
            return decision(*probed, route_reason::Probe);
        }
        const std::vector<routed_runner*>& usable = healthy.empty() ? found : healthy;
        const routed_runner* lessLoaded = choice.leastLoaded(usable, settings.zone);
        if (request.prefixDigest == 0)
            return decision(*lessLoaded, route_reason::LeastLoaded);
        const routed_runner* holder = choice.holder(usable, request.prefixDigest, hints);
        const auto promptTokens = static_cast<double>(request.cost.promptTokens.value());
        if (choice.isWorthwhile(*holder, *lessLoaded, promptTokens))
            return decision(*holder, route_reason::PrefixAffinity);
        return decision(*lessLoaded, route_reason::LeastLoaded);
    }

    void recordOutcome(
        routed_runner& runner, const routed_attempt& attempt, execution_outcome outcome, bool refused, time_point now)
    {
        if (refused) {
            runner.lastContact = now;
            if (attempt.isProbe)
                runner.health.onProbeInconclusive(now);
        } else if (outcome == execution_outcome::Completed) {
            runner.lastContact = now;
            runner.health.onAttemptSucceeded(attempt.isProbe);
        } else {
            runner.health.onAttemptFailed(attempt.isProbe, now);
        }
    }
};

router::router(router_settings settings, std::uint64_t seed)
    : m_implementation(std::make_unique<implementation>(std::move(settings), seed))
{
}

router::~router() = default;
router::router(router&&) noexcept = default;
router& router::operator=(router&&) noexcept = default;

void router::setRunners(const std::vector<runner_view>& views)
{
    m_implementation->removeOthers(views);
    for (const runner_view& view : views)
        m_implementation->update(view);
    m_implementation->rebuildPools();
}

std::vector<runner_id> router::subset(const pool_id& pool) const
{
    std::vector<runner_id> chosen;
    const auto found = m_implementation->pools.find(pool);
    if (found == m_implementation->pools.end())
        return chosen;
    for (const routed_runner* runner : found->second.subset())
        chosen.push_back(runner->view.runner);
    return chosen;
}

void router::onLoadReport(const load_report& report, time_point now)
{
    implementation& self = *m_implementation;
    routed_runner* runner = self.find(report.runner);
    if (!runner)
        return;
    const bool wasAccepting = isAccepting(*runner);
    runner->load.onReport(report, now);
    runner->lastContact = now;
    if (isAccepting(*runner) != wasAccepting)
        self.pools.at(runner->view.pool).refreshSubset(self.settings);
}

coordination_result<route_decision> router::choose(const route_request& request, time_point now)
{
    implementation& self = *m_implementation;
    const auto pool = self.pools.find(request.pool);
    if (pool == self.pools.end())
        return noRunner(request.pool);
    const std::vector<routed_runner*> found = self.candidates(pool->second, request);
    if (found.empty())
        return noRunner(request.pool);
    return self.decide(pool->second, request, found, now);
}

void router::onAttemptStarted(const attempt_id& id, const runner_id& runnerId, const request_cost& cost, time_point now)
{
    implementation& self = *m_implementation;
    routed_runner* runner = self.find(runnerId);
    if (!runner)
        return;
    const routed_attempt attempt { runnerId, now, std::exchange(runner->isProbeNext, false), false };
    if (!self.attempts.emplace(id, attempt).second)
        return;
    if (!runner->lastContact)
        runner->lastContact = now;
    runner->load.onAttemptStarted(id, cost, now);
    self.pools.at(runner->view.pool).recordTokens(static_cast<double>(cost.completionTokens.value()));
}

void router::onFirstChunk(const attempt_id& id, time_point now)
{
    implementation& self = *m_implementation;
    const auto found = self.attempts.find(id);
    if (found == self.attempts.end() || std::exchange(found->second.hasFirstChunk, true))
        return;
    routed_runner* runner = self.find(found->second.runner);
    if (!runner)
        return;
    const duration waited = now - found->second.startedAt;
    runner->lastContact = now;
    runner->health.onFirstToken(waited);
    if (found->second.isProbe && waited > slowFirstTokenThreshold(self.pools.at(runner->view.pool).baseline(now))) {
        runner->health.onAttemptFailed(true, now);
        // The probe has failed by its slow first token, even if the attempt completes.
        found->second.isProbe = false;
    }
}

void router::onAttemptFinished(const attempt_id& id, execution_outcome outcome, bool refused, time_point now)
{
    implementation& self = *m_implementation;
    const auto found = self.attempts.find(id);
    if (found == self.attempts.end())
        return;
    const routed_attempt attempt = found->second;
    self.attempts.erase(found);
    routed_runner* runner = self.find(attempt.runner);
    if (!runner)
        return;
    runner->load.onAttemptFinished(id, now);
    self.recordOutcome(*runner, attempt, outcome, refused, now);
}

std::size_t router::inFlight() const { return m_implementation->attempts.size(); }

void router::onCacheEvent(const runner_id& runner, std::uint64_t prefixDigest, bool cached, time_point /*now*/)
{
    implementation& self = *m_implementation;
    if (prefixDigest == 0 || !self.find(runner))
        return;
    if (cached)
        self.hints.onCached(prefixDigest, runner);
    else
        self.hints.onEvicted(prefixDigest, runner);
}

}
