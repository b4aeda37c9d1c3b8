#include "coordination/routing/runner_pool.h"

#include "coordination/routing/routed_runner.h"
#include "coordination/routing/router_settings.h"
#include "state/name_digest.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <unordered_set>
#include <utility>

namespace sardinelb {

namespace {

using namespace std::chrono_literals;

constexpr duration baselineRefreshInterval = 250ms;
// Number of recent requests in the moving average of completion tokens.
constexpr std::uint64_t averagingWindowRequests = 256;

// Collects runners in order of rank until enough of them accept work.
class subset_builder {
public:
    explicit subset_builder(const std::vector<routed_runner*>& ranked)
        : m_ranked(ranked)
    {
    }

    template <typename Filter>
    void collect(std::size_t wanted, Filter&& filter)
    {
        for (routed_runner* runner : m_ranked) {
            if (m_accepting >= wanted)
                return;
            if (!filter(*runner) || !m_taken.insert(runner).second)
                continue;
            m_runners.push_back(runner);
            m_accepting += isAccepting(*runner) ? 1 : 0;
        }
    }

    std::vector<routed_runner*> result() && { return std::move(m_runners); }

private:
    const std::vector<routed_runner*>& m_ranked;
    std::vector<routed_runner*> m_runners;
    std::unordered_set<const routed_runner*> m_taken;
    std::size_t m_accepting = 0;
};

}

void runner_pool::add(routed_runner& runner) { m_ranked.push_back(&runner); }

void runner_pool::rank(const router_settings& settings)
{
    const std::uint64_t self = nameDigest(settings.self.value());
    std::vector<std::pair<std::uint64_t, routed_runner*>> scored;
    scored.reserve(m_ranked.size());
    for (routed_runner* runner : m_ranked)
        scored.emplace_back(nameDigest(runner->view.runner.value(), self), runner);
    std::sort(scored.begin(), scored.end(), [](const auto& a, const auto& b) {
        return a.first != b.first ? a.first > b.first : a.second->view.runner < b.second->view.runner;
    });
    std::transform(
        scored.begin(), scored.end(), m_ranked.begin(), [](const auto& candidate) { return candidate.second; });
    refreshSubset(settings);
}

void runner_pool::refreshSubset(const router_settings& settings)
{
    subset_builder builder(m_ranked);
    builder.collect(
        settings.subsetSize / 2, [&](const routed_runner& runner) { return runner.view.zone == settings.zone; });
    builder.collect(settings.subsetSize, [](const routed_runner&) { return true; });
    m_subset = std::move(builder).result();
}

const pool_baseline& runner_pool::baseline(time_point now)
{
    if (m_baselineUpdatedAt == time_point::min() || now - m_baselineUpdatedAt >= baselineRefreshInterval) {
        m_baseline = baselineOf(m_subset);
        m_baselineUpdatedAt = now;
    }
    return m_baseline;
}

void runner_pool::recordTokens(double tokens)
{
    m_requests = std::min(m_requests + 1, averagingWindowRequests);
    m_typicalTokens += (tokens - m_typicalTokens) / static_cast<double>(m_requests);
}

void runner_pool::copyTypicalTokens(const runner_pool& earlier)
{
    m_typicalTokens = earlier.m_typicalTokens;
    m_requests = earlier.m_requests;
}

}
