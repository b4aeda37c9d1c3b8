#include "bench/entry_fleet_simulation.h"
#include "serving/group_shift.h"
#include "serving/load_estimate.h"
#include "serving/runner_choice.h"
#include "serving/runner_followers.h"

#include <gtest/gtest.h>

namespace sardinelb::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

class even_load : public testing::Test { };

// Guards against runners that are overrun in turns while others idle, because entries choose from the same old reports. Chosen
// by the reports alone, the spread is 1.9 and the uneven time 0.98.
TEST_F(even_load, fourteenEntries_reportsOfThreeTenths_loadIsEven)
{
    for (const std::uint64_t seed : { 1, 2, 3 }) {
        entry_fleet_simulation::settings settings;
        settings.seed = seed;
        const auto figures = entry_fleet_simulation(settings).run(seconds(5));
        EXPECT_LE(figures.unevenTime, 0.25) << seed;
        EXPECT_LE(figures.spread, 1.3) << seed;
    }
}

// Guards against runners that are followed by entries with little demand and stay idle, while the others are full.
TEST_F(even_load, demandDiffersBetweenEntries_loadIsEven)
{
    entry_fleet_simulation::settings settings;
    settings.demandRatio = 0.7;
    const auto figures = entry_fleet_simulation(settings).run(seconds(5));
    EXPECT_LE(figures.unevenTime, 0.4);
    EXPECT_LE(figures.spread, 1.3);
}

class load_estimate : public testing::Test {
protected:
    static runner_record reported(std::uint32_t total, std::uint32_t sentSince)
    {
        runner_record record;
        record.load = runner_record::load_sample { total, total, 0, sentSince, time_point(seconds(1)), 1, true };
        record.inFlight = sentSince;
        return record;
    }
};

// Guards against followers of a runner that all take its last free slot: their turns do not meet.
TEST_F(load_estimate, sameReport_followersTakeTurns)
{
    std::unordered_map<std::string, double> shares;
    for (int i = 0; i < 4; ++i)
        shares["10.0.0." + std::to_string(i)] = 0.25;
    std::vector<double> loads;
    loads.reserve(shares.size());
    for (const auto& [entry, share] : shares)
        loads.push_back(assumedLoad(reported(4, 0), followerShare("10.1.0.1:80", entry, shares, 4), seconds(2), time_point(seconds(1))));
    std::sort(loads.begin(), loads.end());
    for (std::size_t i = 1; i < loads.size(); ++i)
        EXPECT_GE(loads[i] - loads[i - 1], 0.7);
}

// Guards against an entry that counts on its own requests only.
TEST_F(load_estimate, requestSentSinceReport_countsForThoseOfTheOthers)
{
    const follower_share share { 0.25, 0 };
    const time_point now(seconds(1));
    EXPECT_DOUBLE_EQ(assumedLoad(reported(4, 1), share, seconds(2), now) - assumedLoad(reported(4, 0), share, seconds(2), now), 4);
}

// Guards against an old report that outweighs newer ones after most of the requests in it have ended.
TEST_F(load_estimate, oldReport_countsForLess)
{
    EXPECT_LT(assumedLoad(reported(8, 0), {}, seconds(1), time_point(seconds(2))), 4);
}

// Guards against shares that do not sum to one when only some of the entries follow a runner.
TEST_F(load_estimate, someEntriesFollow_sharesSumToOne)
{
    const std::unordered_map<std::string, double> shares { { "a", 0.7 }, { "b", 0.2 }, { "c", 0.1 } };
    const std::vector<std::string> entries { "a", "b", "c" };
    double total = 0;
    for (const std::string& entry : entries) {
        if (followerPosition("r", entry, entries) < 2)
            total += followerShare("r", entry, shares, 2).own;
    }
    EXPECT_NEAR(total, 1, 1e-9);
}

class slow_group : public testing::Test {
protected:
    void pass(const char* group, double ms, milliseconds now) { m_shift.onPasses(group_id(group), ms, 120, time_point(now)); }
    bool isAvoided(const char* group, milliseconds now) const { return m_shift.isAvoided(group_id(group), time_point(now)); }

    group_shift m_shift;
};

// Guards against streams that are all late in a group with a slow rank, while another group has room.
TEST_F(slow_group, passesAboveObjective_avoidedUntilClearlyFaster)
{
    pass("a", 70, milliseconds(0));
    pass("b", 200, milliseconds(100));
    EXPECT_TRUE(isAvoided("b", milliseconds(150)));
    EXPECT_FALSE(isAvoided("a", milliseconds(150)));
    pass("a", 70, milliseconds(200));
    pass("b", 110, milliseconds(200));
    EXPECT_TRUE(isAvoided("b", milliseconds(250)));
    pass("b", 90, milliseconds(300));
    EXPECT_FALSE(isAvoided("b", milliseconds(350)));
    pass("b", 110, milliseconds(400));
    EXPECT_FALSE(isAvoided("b", milliseconds(450)));
}

// Guards against demand that is moved back and forth between groups that are all slow because all are full.
TEST_F(slow_group, allGroupsSlow_noneAvoided)
{
    pass("a", 150, milliseconds(0));
    pass("b", 180, milliseconds(0));
    EXPECT_FALSE(isAvoided("a", milliseconds(10)));
    EXPECT_FALSE(isAvoided("b", milliseconds(10)));
}

// Guards against a group that stays without requests, and thus without passes, after its rank has recovered.
TEST_F(slow_group, noPassesForAWhile_usedAgain)
{
    pass("a", 70, milliseconds(0));
    pass("b", 200, milliseconds(0));
    EXPECT_FALSE(isAvoided("b", milliseconds(600)));
}

}
