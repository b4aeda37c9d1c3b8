#include "bench/model/baseline_router.h"

#include "bench/model/runner_names.h"

namespace sardinelb::bench {

baseline_router::baseline_router(kind given, const std::vector<runner_view>& views, std::uint64_t seed)
    : m_kind(given)
    , m_load(views.size())
    , m_random(seed)
{
    for (const runner_view& view : views)
        m_runners.push_back(view.runner);
    // Entries do not begin their turn at the same runner.
    m_next = m_random() % m_runners.size();
}

runner_id baseline_router::choose()
{
    switch (m_kind) {
    case kind::LeastLoaded:
        return m_runners[leastLoaded()];
    case kind::RoundRobin:
        return m_runners[m_next++ % m_runners.size()];
    case kind::Random:
        break;
    }
    return m_runners[m_random() % m_runners.size()];
}

void baseline_router::onLoadReport(const load_report& report)
{
    m_load[indexOf(report.runner)] = report.queued + report.running;
}

void baseline_router::onAttemptStarted(const runner_id& runner) { ++m_load[indexOf(runner)]; }

std::size_t baseline_router::leastLoaded()
{
    // Equals are broken at random, so that entries do not all choose the same one.
    const std::size_t start = m_random() % m_load.size();
    std::size_t best = start;
    for (std::size_t step = 1; step < m_load.size(); ++step) {
        const std::size_t index = (start + step) % m_load.size();
        if (m_load[index] < m_load[best])
            best = index;
    }
    return best;
}

}
