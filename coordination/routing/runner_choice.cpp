#include "coordination/routing/runner_choice.h"

#include "coordination/routing/pool_baseline.h"
#include "coordination/routing/prefix_hints.h"
#include "coordination/routing/routed_runner.h"
#include "coordination/routing/runner_pool.h"
#include "state/name_digest.h"

#include <algorithm>
#include <cstddef>

namespace sardinelb {

namespace {

// Weight of the expected tokens relative to the number of requests. The number dominates, since lengths are uncertain
// and the agent schedules short work ahead of long work. With a weight of 0.2, short requests wait for slots
// (head-of-line bench).
constexpr double tokenWeight = 0.05;
// A runner in another zone is preferred if it is less loaded by this many typical requests per slot. Differences of one
// request per eight slots are noise from arrivals.
constexpr double zoneMargin = 0.25;
// A runner that holds the prefix may be more loaded than the alternative by this many typical requests per slot.
constexpr double affinityMargin = 0.5;
// Prompt tokens that a runner prefills in the time of one decode step.
constexpr double prefillTokensPerStep = 200;

std::size_t randomIndex(std::size_t count, std::mt19937_64& random)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

bool isHintedHolder(const routed_runner& runner, const std::vector<runner_id>& hinted)
{
    return std::find(hinted.begin(), hinted.end(), runner.view.runner) != hinted.end();
}

}

runner_choice::runner_choice(const runner_pool& pool, const pool_baseline& baseline, std::mt19937_64& random)
    : m_pool(pool)
    , m_baseline(baseline)
    , m_random(random)
{
}

double runner_choice::score(const routed_runner& runner) const
{
    const double work = runner.load.occupancy() * typicalTokens() + tokenWeight * runner.load.tokensPerSlot();
    return work * relativeTokenInterval(runner, m_baseline);
}

routed_runner* runner_choice::leastLoaded(
    const std::vector<routed_runner*>& candidates, const availability_zone_id& zone) const
{
    std::vector<routed_runner*> near;
    std::vector<routed_runner*> far;
    for (routed_runner* runner : candidates)
        (runner->view.zone == zone ? near : far).push_back(runner);
    if (near.empty())
        return lessLoadedOfTwo(far);
    if (far.empty())
        return lessLoadedOfTwo(near);
    routed_runner* nearest = lessLoadedOfTwo(near);
    routed_runner* other = lessLoadedOfTwo(far);
    return score(*nearest) <= score(*other) + zoneMargin * typicalTokens() ? nearest : other;
}

routed_runner* runner_choice::holder(
    const std::vector<routed_runner*>& candidates, std::uint64_t prefixDigest, const prefix_hints& hints) const
{
    const std::vector<runner_id> hinted = hints.holders(prefixDigest);
    routed_runner* best = nullptr;
    for (routed_runner* runner : candidates) {
        if (isHintedHolder(*runner, hinted) && (!best || score(*runner) < score(*best)))
            best = runner;
    }
    if (best)
        return best;
    // No holder is known: rendezvous hashing makes all entries choose the same runner.
    const auto weightOf = [&](const routed_runner* runner) { return nameDigest(runner->view.runner.value(), prefixDigest); };
    return *std::max_element(candidates.begin(), candidates.end(),
        [&](const auto* a, const auto* b) { return weightOf(a) < weightOf(b); });
}

bool runner_choice::isWorthwhile(
    const routed_runner& holder, const routed_runner& alternative, double promptTokens) const
{
    if (holder.load.occupancy() >= 1 && alternative.load.occupancy() < 1)
        return false;
    const double margin = affinityMargin * typicalTokens() + promptTokens / prefillTokensPerStep;
    return score(holder) <= score(alternative) + margin;
}

routed_runner* runner_choice::lessLoadedOfTwo(const std::vector<routed_runner*>& runners) const
{
    const std::size_t first = randomIndex(runners.size(), m_random);
    if (runners.size() == 1)
        return runners[first];
    // Draw the second runner from the remaining ones.
    const std::size_t second = (first + 1 + randomIndex(runners.size() - 1, m_random)) % runners.size();
    return score(*runners[second]) < score(*runners[first]) ? runners[second] : runners[first];
}

double runner_choice::typicalTokens() const { return std::max(1.0, m_pool.typicalTokens()); }

}
