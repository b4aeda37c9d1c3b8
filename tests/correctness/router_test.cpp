#include "coordination/routing/router.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <random>
#include <set>
#include <string>

namespace sardinelb {

namespace {

using namespace std::chrono_literals;

const pool_id pool("pool");

runner_id runnerNamed(std::size_t index) { return runner_id("runner-" + std::to_string(index)); }

attempt_id attemptNamed(std::size_t index) { return { request_id("r" + std::to_string(index)), 1 }; }

router_settings settingsFor(const std::string& entry, std::size_t subsetSize = 20)
{
    return { daemon_id(entry), availability_zone_id("zone-0"), subsetSize };
}

std::vector<runner_view> viewsOf(std::size_t count, std::size_t zones = 1)
{
    std::vector<runner_view> views(count);
    for (std::size_t index = 0; index < count; ++index)
        views[index] = { runnerNamed(index), pool, availability_zone_id("zone-" + std::to_string(index % zones)), true,
            incarnation(1) };
    return views;
}

load_report reportOf(std::size_t index, std::uint32_t running, std::int64_t tokensEach = 100)
{
    load_report report;
    report.runner = runnerNamed(index);
    report.running = running;
    report.slots = 8;
    report.backlog = token_count(running * tokensEach);
    report.tokenInterval = 20ms;
    return report;
}

route_request requestOf(std::int64_t tokens = 100, std::uint64_t prefix = 0)
{
    route_request request;
    request.pool = pool;
    request.cost.completionTokens = token_count(tokens);
    request.prefixDigest = prefix;
    return request;
}

// A router under test, with numbered attempts whose outcomes the test reports.
class routing {
public:
    routing(const router_settings& settings, const std::vector<runner_view>& views)
        : m_router(settings, 7)
    {
        m_router.setRunners(views);
    }

    // Routes and starts one attempt. Returns the decision.
    route_decision send(const route_request& request)
    {
        const auto decision = m_router.choose(request, now);
        EXPECT_TRUE(decision.has_value());
        m_router.onAttemptStarted(attemptNamed(sent++), decision.value().runner, request.cost, now);
        return decision.value();
    }

    // Finishes the attempt that was sent last.
    void endLast(execution_outcome outcome, duration timeToFirstToken = 10ms)
    {
        if (outcome == execution_outcome::Completed)
            m_router.onFirstChunk(attemptNamed(sent - 1), now + timeToFirstToken);
        m_router.onAttemptFinished(attemptNamed(sent - 1), outcome, false, now + timeToFirstToken);
    }

    router& operator*() { return m_router; }
    router* operator->() { return &m_router; }

    time_point now { 1s };
    std::size_t sent = 0;

private:
    router m_router;
};

}

// Guards against choosing runners that are excluded, leaving or not connected, and against a load that counts own
// attempts twice or not at all. The expected result is computed at every step by a simple reference model.
TEST(Router, OnRandomHistoriesMatchesAReferenceModel)
{
    struct own_attempt {
        runner_id runner;
        std::int64_t tokens;
        time_point startedAt;
    };
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        std::mt19937_64 random(seed);
        std::vector<runner_view> views = viewsOf(12, 3);
        router tested(settingsFor("entry", 5), seed);
        tested.setRunners(views);
        std::map<runner_id, load_report> reports;
        std::map<attempt_id, own_attempt> inFlight;
        std::map<runner_id, time_point> reportedAt;
        time_point now(1s);
        for (std::size_t step = 0; step < 600; ++step) {
            now += 1ms * (10 + random() % 50);
            const std::size_t index = random() % views.size();
            switch (random() % 6) {
            case 0:
                views[index].accepting = random() % 3 != 0;
                tested.setRunners(views);
                break;
            case 1:
                views[index].agentIncarnation = incarnation(views[index].agentIncarnation.value() == 0 ? 1 : 0);
                tested.setRunners(views);
                break;
            case 2: {
                load_report report = reportOf(index, static_cast<std::uint32_t>(random() % 20));
                report.accepting = random() % 4 != 0;
                tested.onLoadReport(report, now);
                reports[report.runner] = report;
                reportedAt[report.runner] = now;
                break;
            }
            default: {
                route_request request = requestOf(static_cast<std::int64_t>(1 + random() % 300), random() % 3);
                for (std::size_t other = random() % 8; other < 8; ++other)
                    request.excluded.push_back(runnerNamed(random() % 12));
                std::map<runner_id, bool> fit;
                for (const runner_view& view : views) {
                    const bool isExcluded
                        = std::count(request.excluded.begin(), request.excluded.end(), view.runner) > 0;
                    const bool isOpen = !reports.contains(view.runner) || reports[view.runner].accepting;
                    if (view.accepting && isOpen && view.agentIncarnation.value() != 0 && !isExcluded)
                        fit[view.runner] = true;
                }
                const auto decision = tested.choose(request, now);
                ASSERT_EQ(decision.has_value(), !fit.empty()) << "seed " << seed << " step " << step;
                if (!decision.has_value())
                    break;
                const runner_id chosen = decision.value().runner;
                ASSERT_TRUE(fit.contains(chosen)) << "seed " << seed << " step " << step;
                const auto subset = tested.subset(pool);
                const auto isFit = [&](const runner_id& runner) { return fit.contains(runner); };
                ASSERT_TRUE(std::find(subset.begin(), subset.end(), chosen) != subset.end()
                    || std::none_of(subset.begin(), subset.end(), isFit));
                double tokens = 0;
                if (reports.contains(chosen))
                    tokens = static_cast<double>(reports[chosen].backlog.value());
                for (const auto& [id, own] : inFlight) {
                    const bool isInReport = reportedAt.contains(chosen) && own.startedAt < reportedAt[chosen];
                    tokens += own.runner == chosen && !isInReport ? static_cast<double>(own.tokens) : 0;
                }
                const double slots = reports.contains(chosen) ? 8 : 1;
                ASSERT_DOUBLE_EQ(decision.value().load, tokens / slots) << "seed " << seed << " step " << step;
                tested.onAttemptStarted(attemptNamed(step), chosen, request.cost, now);
                inFlight[attemptNamed(step)] = { chosen, request.cost.completionTokens.value(), now };
                break;
            }
            }
        }
    }
}

// Guards against a load estimate that is too high or too low after own attempts have ended.
TEST(Router, AfterTheEndOfAnAttemptNoLongerCountsIt)
{
    routing entry(settingsFor("entry"), viewsOf(1));
    entry->onLoadReport(reportOf(0, 2), entry.now);
    entry.now += 100ms;
    EXPECT_DOUBLE_EQ(entry.send(requestOf(80)).load, 200 / 8.0);
    EXPECT_DOUBLE_EQ((*entry).choose(requestOf(), entry.now).value().load, 280 / 8.0);
    entry->onAttemptFinished(attemptNamed(0), execution_outcome::Completed, false, entry.now);
    EXPECT_DOUBLE_EQ((*entry).choose(requestOf(), entry.now).value().load, 200 / 8.0);
    // The attempt ends 100 ms after the report, which was made in the middle of its run time: half of its tokens were
    // still to be generated at the time of the report.
    entry.send(requestOf(80));
    entry.now += 100ms;
    entry->onLoadReport(reportOf(0, 3), entry.now);
    entry.now += 100ms;
    entry->onAttemptFinished(attemptNamed(1), execution_outcome::Completed, false, entry.now);
    EXPECT_DOUBLE_EQ((*entry).choose(requestOf(), entry.now).value().load, 260 / 8.0);
}

// Guards against a subset of which many members change when a single runner is removed.
RC_GTEST_PROP(RouterSubset, WhenARunnerGoesChangesByThatRunnerOnly, ())
{
    const auto count = *rc::gen::inRange<std::size_t>(2, 60);
    const auto gone = *rc::gen::inRange<std::size_t>(0, count);
    const auto entry = *rc::gen::inRange(0, 1000);
    std::vector<runner_view> views = viewsOf(count);
    router tested(settingsFor("entry-" + std::to_string(entry), 10), 1);
    tested.setRunners(views);
    const auto before = tested.subset(pool);
    RC_ASSERT(before.size() == std::min<std::size_t>(10, count));
    views.erase(views.begin() + static_cast<std::ptrdiff_t>(gone));
    tested.setRunners(views);
    const auto after = tested.subset(pool);
    const std::set<runner_id> kept(after.begin(), after.end());
    for (const runner_id& runner : before)
        RC_ASSERT(kept.contains(runner) || runner == runnerNamed(gone));
}

// Guards against an entry that has only a few runners left while most of its subset is draining.
TEST(RouterSubset, WithRunnersThatDoNotAcceptIsExtended)
{
    std::vector<runner_view> views = viewsOf(40);
    router tested(settingsFor("entry", 10), 1);
    tested.setRunners(views);
    const auto before = tested.subset(pool);
    for (runner_view& view : views)
        view.accepting = std::find(before.begin(), before.begin() + 6, view.runner) == before.begin() + 6;
    tested.setRunners(views);
    const auto after = tested.subset(pool);
    EXPECT_EQ(after.size(), 16U);
    EXPECT_TRUE(std::equal(before.begin(), before.end(), after.begin()));
}

// Guards against saturated runners because an uneven number of entries have them in their subsets. At load 0.75, no
// runner saturates if the busiest one gets at most a third more than the mean. Half of the entries are replaced
// halfway.
TEST(RouterSubset, WithManyEntriesThatComeAndGoSpreadsLoadEvenly)
{
    constexpr std::size_t runners = 120;
    constexpr std::size_t entries = 80;
    constexpr std::size_t perRound = 3;
    std::vector<router> routers;
    const auto makeRouter = [&](std::size_t index) {
        routers.emplace_back(settingsFor("entry-" + std::to_string(index), 20), index);
        routers.back().setRunners(viewsOf(runners));
    };
    for (std::size_t index = 0; index < entries; ++index)
        makeRouter(index);
    std::vector<std::uint32_t> served(runners);
    std::vector<std::uint32_t> inFlight(runners);
    std::map<runner_id, std::size_t> indexOf;
    for (std::size_t index = 0; index < runners; ++index)
        indexOf[runnerNamed(index)] = index;
    std::vector<std::vector<std::size_t>> rounds;
    std::size_t sent = 0;
    for (std::size_t round = 0; round < 200; ++round) {
        // A request takes three rounds of 100 ms; load is reported in each round.
        const time_point now = time_point(1s) + 100ms * round;
        if (round == 100) {
            routers.erase(routers.begin(), routers.begin() + entries / 2);
            for (std::size_t index = entries; index < entries + entries / 2; ++index)
                makeRouter(index);
        }
        if (round >= 3) {
            for (const std::size_t runner : rounds[round - 3])
                --inFlight[runner];
        }
        for (router& entry : routers) {
            for (std::size_t index = 0; index < runners; ++index)
                entry.onLoadReport(reportOf(index, inFlight[index]), now - 50ms);
        }
        rounds.emplace_back();
        for (router& entry : routers) {
            for (std::size_t request = 0; request < perRound; ++request) {
                const auto decision = entry.choose(requestOf(), now);
                entry.onAttemptStarted(attemptNamed(sent), decision.value().runner, requestOf().cost, now);
                entry.onAttemptFinished(attemptNamed(sent++), execution_outcome::NotRun, true, now);
                rounds.back().push_back(indexOf[decision.value().runner]);
            }
        }
        for (const std::size_t runner : rounds.back()) {
            ++inFlight[runner];
            served[runner] += round >= 20 ? 1 : 0;
        }
    }
    const double mean = 180.0 * entries * perRound / runners;
    EXPECT_LE(*std::max_element(served.begin(), served.end()), mean / 0.75);
}

// Guards against cache misses: requests with the same prefix must go to the same runner.
TEST(RouterAffinity, WhenRunnersAreIdleSendsAPrefixToOneRunner)
{
    routing entry(settingsFor("entry"), viewsOf(10));
    for (std::size_t index = 0; index < 10; ++index)
        entry->onLoadReport(reportOf(index, 1), entry.now);
    const route_decision first = entry.send(requestOf(100, 42));
    EXPECT_EQ(first.reason, route_reason::PrefixAffinity);
    entry.endLast(execution_outcome::Completed);
    EXPECT_EQ(entry.send(requestOf(100, 42)).runner, first.runner);
}

// Guards against a popular prefix that overloads the runner that holds it.
TEST(RouterAffinity, WhenTheHolderIsBusyYields)
{
    routing entry(settingsFor("entry"), viewsOf(10));
    for (std::size_t index = 0; index < 10; ++index)
        entry->onLoadReport(reportOf(index, 1), entry.now);
    std::map<runner_id, int> counts;
    for (int request = 0; request < 40; ++request)
        ++counts[entry.send(requestOf(100, 42)).runner];
    for (const auto& [runner, count] : counts)
        EXPECT_LE(count, 8) << runner.value();
}

// Guards against ignoring cache events, and against relying on wrong ones.
TEST(RouterAffinity, WithCacheEventsFollowsThemAsHints)
{
    routing entry(settingsFor("entry"), viewsOf(10));
    for (std::size_t index = 0; index < 10; ++index)
        entry->onLoadReport(reportOf(index, 1), entry.now);
    entry->onCacheEvent(runnerNamed(3), 42, true, entry.now);
    EXPECT_EQ((*entry).choose(requestOf(100, 42), entry.now).value().runner, runnerNamed(3));
    entry->onCacheEvent(runnerNamed(3), 42, false, entry.now);
    entry->onCacheEvent(runnerNamed(5), 42, true, entry.now);
    EXPECT_EQ((*entry).choose(requestOf(100, 42), entry.now).value().runner, runnerNamed(5));
    entry->onLoadReport(reportOf(5, 12), entry.now);
    EXPECT_NE((*entry).choose(requestOf(100, 42), entry.now).value().runner, runnerNamed(5));
    entry->onCacheEvent(runner_id("unknown"), 42, true, entry.now);
    EXPECT_TRUE((*entry).choose(requestOf(100, 42), entry.now).has_value());
}

// Guards against unnecessary traffic between zones, and against overloading a zone while others are idle.
TEST(RouterZones, PrefersItsOwnZoneUntilThatIsBusier)
{
    routing entry(settingsFor("entry"), viewsOf(9, 3));
    for (std::size_t index = 0; index < 9; ++index)
        entry->onLoadReport(reportOf(index, 2), entry.now);
    for (int request = 0; request < 20; ++request) {
        const auto decision = (*entry).choose(requestOf(), entry.now);
        EXPECT_EQ(std::stoul(decision.value().runner.value().substr(7)) % 3, 0U);
    }
    for (std::size_t index = 0; index < 9; index += 3)
        entry->onLoadReport(reportOf(index, 8), entry.now);
    for (int request = 0; request < 20; ++request) {
        const auto decision = (*entry).choose(requestOf(), entry.now);
        EXPECT_NE(std::stoul(decision.value().runner.value().substr(7)) % 3, 0U);
    }
}

// Guards against a runner that fails immediately, therefore looks idle, and attracts all work.
TEST(RouterHealth, WithARunnerThatFailsAvoidsItAndProbesWithSingleRequests)
{
    routing entry(settingsFor("entry"), viewsOf(3));
    const runner_id bad = runnerNamed(1);
    int failures = 0;
    int probes = 0;
    for (int request = 0; request < 3000; ++request) {
        entry.now += 10ms;
        const route_decision decision = entry.send(requestOf());
        const bool fails = decision.runner == bad;
        failures += fails ? 1 : 0;
        probes += fails && decision.reason == route_reason::Probe ? 1 : 0;
        entry.endLast(fails ? execution_outcome::Failed : execution_outcome::Completed);
    }
    // Three failures, then probes after 1, 2, 4 and 8 s in 30 s.
    EXPECT_EQ(failures, 3 + probes);
    EXPECT_EQ(probes, 4);
    // Once it works again, a probe and a growing number of requests restore its share of the work.
    std::map<runner_id, int> counts;
    for (int request = 0; request < 3000; ++request) {
        entry.now += 10ms;
        ++counts[entry.send(requestOf()).runner];
        entry.endLast(execution_outcome::Completed);
    }
    EXPECT_GT(counts[bad], 200);
}

// Guards against a burst of requests to a runner that may not have recovered yet.
TEST(RouterHealth, WithAProbeInFlightSendsNoSecondOne)
{
    routing entry(settingsFor("entry"), viewsOf(2));
    for (int request = 0; request < 100; ++request) {
        const bool fails = entry.send(requestOf()).runner == runnerNamed(1);
        entry.endLast(fails ? execution_outcome::Failed : execution_outcome::Completed);
    }
    entry.now += 1500ms;
    EXPECT_EQ(entry.send(requestOf()).reason, route_reason::Probe);
    for (int request = 0; request < 50; ++request) {
        entry.now += 50ms;
        EXPECT_EQ(entry.send(requestOf()).runner, runnerNamed(0));
        entry.endLast(execution_outcome::Completed);
    }
}

// Guards against work for a runner that answers, but with a much longer time to first token than its peers.
TEST(RouterHealth, WithARunnerThatIsSlowToStartAvoidsIt)
{
    routing entry(settingsFor("entry"), viewsOf(5));
    const runner_id slow = runnerNamed(2);
    int late = 0;
    for (int request = 0; request < 2000; ++request) {
        entry.now += 10ms;
        const bool isSlow = entry.send(requestOf()).runner == slow;
        entry.endLast(execution_outcome::Completed, isSlow ? 2s : 50ms);
        late += isSlow && request >= 1000 ? 1 : 0;
    }
    EXPECT_LE(late, 5);
}

// Guards against a straggler that becomes the bottleneck because it gets as much work as its peers.
TEST(RouterHealth, WithARunnerThatStepsMoreSlowlySendsItLess)
{
    routing entry(settingsFor("entry"), viewsOf(4));
    std::map<runner_id, int> counts;
    for (int round = 0; round < 200; ++round) {
        entry.now += 100ms;
        for (std::size_t index = 0; index < 4; ++index) {
            load_report report = reportOf(index, 4);
            report.tokenInterval = index == 0 ? 30ms : 20ms;
            entry->onLoadReport(report, entry.now);
        }
        for (int request = 0; request < 4; ++request) {
            ++counts[entry.send(requestOf()).runner];
            entry.endLast(execution_outcome::Completed);
        }
    }
    EXPECT_LT(counts[runnerNamed(0)], 800 / 4 * 2 / 3);
}

// Guards against sending work to an agent that no longer responds while its connection appears to be up.
TEST(RouterHealth, WithASilentRunnerSendsItNoMoreWork)
{
    routing entry(settingsFor("entry"), viewsOf(2));
    entry->onLoadReport(reportOf(0, 0), entry.now);
    entry->onLoadReport(reportOf(1, 0), entry.now);
    for (int request = 0; request < 10; ++request)
        entry.send(requestOf());
    for (int round = 0; round < 40; ++round) {
        entry.now += 100ms;
        entry->onLoadReport(reportOf(0, 30), entry.now);
    }
    for (int request = 0; request < 20; ++request)
        EXPECT_EQ((*entry).choose(requestOf(), entry.now).value().runner, runnerNamed(0));
}

}
