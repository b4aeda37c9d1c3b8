#include "coordination/leases/repair_planner.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>
#include <string>
#include <vector>

using namespace sardinelb;
using namespace std::chrono_literals;

namespace {

constexpr int runnerCount = 16;
constexpr int wantedCount = 12;
// A fifth of the pool, rounded down.
constexpr int maxChanging = 3;

// Simulates a pool whose runners carry out each command after a delay, or not at all.
class repair_planner_fixture : public testing::Test {
protected:
    struct simulated_runner {
        runner_observation seen;
        bool followsOrders = true;
        std::vector<std::pair<time_point, order_command>> pending;
    };

    repair_planner_fixture()
    {
        const pool_id pool("clue-model");
        m_config.pools[pool] = { pool, pool_kind::Model, wantedCount, {} };
        m_config.models[model_id("clue")] = { model_id("clue"), {}, pool, {} };
        for (int i = 0; i < runnerCount; ++i) {
            const runner_id id("r" + std::to_string(10 + i));
            runner configured;
            configured.id = id;
            configured.pool = pool;
            m_config.runners[id] = configured;
            simulated_runner& made = m_runners[id];
            made.seen.runner = id;
            made.seen.member = member_state::Live;
            made.seen.report.emplace();
            made.seen.report->role = i < wantedCount ? "serve" : "spare";
            if (i < wantedCount)
                made.seen.report->models = { "clue" };
        }
    }

    simulated_runner& runnerAt(int index) { return m_runners[runner_id("r" + std::to_string(10 + index))]; }

    static void apply(runner_state& state, const order_command& command)
    {
        if (command.kind == order_kind::SetRole)
            state.role = command.subject;
        else if (command.kind == order_kind::LoadModel)
            state.models.insert(command.subject);
        else
            state.models.erase(command.subject);
    }

    void advanceRunner(simulated_runner& each)
    {
        const bool isHeard = each.seen.member == member_state::Live || each.seen.member == member_state::Slow;
        if (isHeard)
            each.seen.reportedAt = m_now;
        std::erase_if(each.pending, [&](const auto& due) {
            if (!isHeard || !each.followsOrders || due.first > m_now)
                return false;
            apply(*each.seen.report, due.second);
            return true;
        });
        each.seen.isBusy = each.followsOrders && !each.pending.empty();
    }

    // Checks that the steps per period and the changes of a runner's role stay within the settings.
    void checkLimits(const order_command& command)
    {
        m_steps.push_back(m_now);
        const auto recent = std::ranges::count_if(m_steps, [&](time_point at) { return m_now - at < m_settings.period; });
        EXPECT_LE(recent, m_settings.maxStepsPerPeriod);
        if (command.kind != order_kind::SetRole)
            return;
        auto& [role, since] = m_roles[command.runner];
        const bool isDemotion = command.subject == "spare";
        if (isDemotion && !role.empty()) {
            EXPECT_GE(m_now - since, m_settings.minRoleChangeInterval) << command.runner.value();
        }
        role = command.subject;
        since = m_now;
    }

    void run(duration length)
    {
        for (const time_point end = m_now + length; m_now < end; m_now += 1s) {
            std::vector<runner_observation> seen;
            for (auto& [id, each] : m_runners) {
                advanceRunner(each);
                seen.push_back(each.seen);
            }
            for (const order_command& command : m_planner.plan(m_config, seen, m_now)) {
                EXPECT_FALSE(command.reason.empty());
                checkLimits(command);
                m_commands.push_back(command);
                m_runners[command.runner].pending.emplace_back(m_now + 20s, command);
            }
            int changing = 0;
            for (const auto& [id, each] : m_runners)
                changing += each.followsOrders && !each.pending.empty() ? 1 : 0;
            EXPECT_LE(changing, maxChanging);
        }
    }

    int servingCount() const
    {
        return static_cast<int>(std::ranges::count_if(m_runners, [](const auto& entry) {
            const runner_observation& seen = entry.second.seen;
            return seen.member == member_state::Live && seen.report->role == "serve"
                && seen.report->models.contains("clue");
        }));
    }

    repair_settings m_settings;
    repair_planner m_planner { repair_settings() };
    configuration m_config;
    std::map<runner_id, simulated_runner> m_runners;
    time_point m_now {};
    std::vector<order_command> m_commands;
    std::vector<time_point> m_steps;
    std::map<runner_id, std::pair<std::string, time_point>> m_roles;
};

}

// Guards against steps when nothing needs repair.
TEST_F(repair_planner_fixture, TakesNoStepWhenAllIsAsWanted)
{
    run(2h);
    EXPECT_TRUE(m_commands.empty());
}

// Guards against the replacement of runners that recover without intervention.
TEST_F(repair_planner_fixture, KeepsRunnersThatAreSlowRestartOrAreCutOff)
{
    runnerAt(0).seen.member = member_state::Slow;
    runnerAt(1).seen.member = member_state::Dead;
    for (int i = 2; i < 7; ++i)
        runnerAt(i).seen.member = member_state::Partitioned;
    run(4min);
    runnerAt(1).seen.member = member_state::Live;
    run(1h);
    EXPECT_TRUE(m_commands.empty());
}

// Guards against steps for a difference that disappears without intervention.
TEST_F(repair_planner_fixture, TakesNoStepForABriefDifference)
{
    runnerAt(0).seen.report->models.clear();
    runnerAt(1).seen.report->role = "spare";
    run(20s);
    runnerAt(0).seen.report->models = { "clue" };
    runnerAt(1).seen.report->role = "serve";
    run(10min);
    EXPECT_TRUE(m_commands.empty());
}

// Guards against a lost runner that is never replaced or is replaced more than once.
TEST_F(repair_planner_fixture, ReplacesALostRunnerOnceAndLoadsBeforeItServes)
{
    runnerAt(3).seen.member = member_state::Dead;
    run(30min);
    ASSERT_EQ(m_commands.size(), 2U);
    EXPECT_EQ(m_commands[0].kind, order_kind::LoadModel);
    EXPECT_EQ(m_commands[1].kind, order_kind::SetRole);
    EXPECT_EQ(m_commands[0].runner, m_commands[1].runner);
    EXPECT_EQ(servingCount(), wantedCount);
}

// Guards against waiting indefinitely for a spare runner that ignores its orders.
TEST_F(repair_planner_fixture, TriesAnotherSpareWhenTheFirstIgnoresItsOrders)
{
    runnerAt(3).seen.member = member_state::Dead;
    runnerAt(wantedCount).followsOrders = false;
    run(30min);
    EXPECT_EQ(servingCount(), wantedCount);
}

// Guards against roles that flap between the old runner and its replacement.
TEST_F(repair_planner_fixture, MakesOneRunnerSpareAfterALostOneHasReturned)
{
    runnerAt(3).seen.member = member_state::Dead;
    run(30min);
    runnerAt(3).seen.member = member_state::Live;
    run(5h);
    EXPECT_EQ(m_commands.size(), 3U);
    EXPECT_EQ(servingCount(), wantedCount);
}

// Guards against changing all runners of a pool at the same time.
TEST_F(repair_planner_fixture, RestoresModelsOfAWholePoolWithinItsBounds)
{
    for (int i = 0; i < wantedCount; ++i)
        runnerAt(i).seen.report->models = { "old" };
    run(1h);
    EXPECT_EQ(m_commands.size(), 2U * wantedCount);
    EXPECT_EQ(servingCount(), wantedCount);
}

// Guards against repeating an ignored order without backoff, and against issuing an order that undoes it.
TEST_F(repair_planner_fixture, BacksOffWhenARunnerIgnoresItsOrders)
{
    runnerAt(0).seen.report->models.clear();
    runnerAt(0).followsOrders = false;
    run(10h);
    for (const order_command& each : m_commands)
        EXPECT_EQ(each.kind, order_kind::LoadModel);
    EXPECT_GE(m_commands.size(), 10U);
    EXPECT_LE(m_commands.size(), 16U);
}

// Guards against limits that hold only for single faults, and against repair that never completes.
TEST_F(repair_planner_fixture, SettlesAfterRandomFaults)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        std::mt19937_64 random(seed);
        for (int round = 0; round < 200; ++round) {
            simulated_runner& each = runnerAt(static_cast<int>(random() % runnerCount));
            each.seen.member = static_cast<member_state>(random() % 7);
            if (random() % 4 == 0)
                each.seen.report->models.clear();
            if (random() % 8 == 0)
                each.seen.report->role = "serve";
            run(duration(1s) * static_cast<int>(random() % 90));
        }
        for (int i = 0; i < runnerCount; ++i)
            runnerAt(i).seen.member = member_state::Live;
        run(4h);
        EXPECT_EQ(servingCount(), wantedCount) << seed;
        m_commands.clear();
        run(4h);
        EXPECT_TRUE(m_commands.empty()) << seed;
    }
}
