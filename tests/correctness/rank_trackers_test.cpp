#include "coordination/maps/popularity_tracker.h"
#include "coordination/maps/rank_speed_tracker.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>
#include <utility>

namespace sardinelb {

namespace {

constexpr std::uint32_t rankCount = 256;

time_point at(int seconds)
{
    return time_point(std::chrono::seconds(seconds));
}

popularity_report reportOf(std::uint64_t number, std::vector<std::uint64_t> tokens)
{
    return { rank_id(0), incarnation(number), std::move(tokens) };
}

void feed(popularity_tracker& tracker, const popularity_report& report, time_point now)
{
    ASSERT_TRUE(tracker.report(report, now).has_value());
}

// Records steps in which all ranks have the same load. Durations have 10% noise, and one in 50 is three times as long.
void recordSteps(rank_speed_tracker& tracker, std::mt19937_64& random, int steps, double slownessOfRank3)
{
    std::normal_distribution<double> noise(1, 0.1);
    for (int step = 0; step < steps; ++step)
        for (std::uint32_t rank = 0; rank < rankCount; ++rank) {
            const double outlier = random() % 50 == 0 ? 3 : 1;
            const double slowness = rank == 3 ? slownessOfRank3 : 1;
            const double busy = 50000 * noise(random) * outlier * slowness;
            tracker.record(rank_id(rank), duration(static_cast<duration::rep>(busy)), 1000);
        }
}

}

// Guards against reports that count twice, or not at all, when messages are duplicated, lost or late.
TEST(PopularityTracker, WithRepeatedAndLateReportsCountsTokensOnce)
{
    popularity_tracker tracker(2, std::chrono::seconds(8));
    EXPECT_EQ(tracker.popularity(), (std::vector<double> { 0.5, 0.5 }));
    feed(tracker, reportOf(1, { 1000, 1000 }), at(0));
    for (const auto& report : { reportOf(1, { 1010, 1010 }), reportOf(1, { 1010, 1010 }), reportOf(1, { 1005, 1005 }) })
        feed(tracker, report, at(0));
    feed(tracker, reportOf(1, { 1300, 1100 }), at(1));
    EXPECT_NEAR(tracker.popularity()[0], 0.75, 1e-9);
}

// Guards against misreading the restarted counts of a new incarnation as a decrease, and late reports of the old
// incarnation as an increase.
TEST(PopularityTracker, WithNewIncarnationStartsAgain)
{
    popularity_tracker tracker(2, std::chrono::seconds(8));
    for (const auto& report : { reportOf(1, { 0, 0 }), reportOf(1, { 10, 10 }), reportOf(2, { 0, 0 }),
             reportOf(1, { 500, 0 }), reportOf(2, { 40, 140 }) })
        feed(tracker, report, at(0));
    feed(tracker, reportOf(2, { 40, 140 }), at(1));
    EXPECT_NEAR(tracker.popularity()[0], 0.25, 1e-9);
}

// Guards against an estimate that lags behind a steady drift or never discounts old samples.
TEST(PopularityTracker, WithSteadyDriftDoesNotLag)
{
    popularity_tracker tracker(2, std::chrono::seconds(80));
    double part = 0.3;
    std::vector<std::uint64_t> tokens { 0, 0 };
    for (int sample = 0; sample < 80; ++sample) {
        feed(tracker, reportOf(1, tokens), at(10 * sample));
        part += 0.005;
        tokens[0] += static_cast<std::uint64_t>(1e6 * part);
        tokens[1] += static_cast<std::uint64_t>(1e6 * (1 - part));
    }
    EXPECT_NEAR(tracker.popularity()[0], part, 0.01);
}

// Guards against a map that is planned from too few samples, as when a coordinator has just started.
TEST(PopularityTracker, WithFewSamplesDoesNotKnowTheNoise)
{
    popularity_tracker tracker(2, std::chrono::seconds(8));
    EXPECT_TRUE(std::isinf(tracker.noise()));
    feed(tracker, reportOf(1, { 0, 0 }), at(0));
    feed(tracker, reportOf(1, { 50, 50 }), at(1));
    feed(tracker, reportOf(1, { 100, 100 }), at(2));
    EXPECT_TRUE(std::isinf(tracker.noise()));
    feed(tracker, reportOf(1, { 200, 200 }), at(3));
    EXPECT_EQ(tracker.noise(), 0);
}

// Guards against attributing the counts of a model with another number of experts to the wrong experts.
TEST(PopularityTracker, WithOtherNumberOfExpertsNamesTheRank)
{
    popularity_tracker tracker(2, std::chrono::seconds(10));
    const auto result = tracker.report(reportOf(1, { 1, 2, 3 }), at(0));
    ASSERT_FALSE(result.has_value());
    EXPECT_EQ(result.error().subject, "rank 0");
}

// Guards against reporting a slow rank because of noise or single slow steps.
TEST(RankSpeedTracker, WithNoiseAndOutliersReportsEqualSpeeds)
{
    std::mt19937_64 random(1);
    rank_speed_tracker tracker(rankCount);
    for (int round = 0; round < 100; ++round) {
        recordSteps(tracker, random, 16, 1);
        EXPECT_EQ(tracker.speeds(), std::vector<double>(rankCount, 1)) << "round " << round;
        EXPECT_TRUE(tracker.stragglers().empty());
    }
}

// Guards against a straggler that is not detected, or is still reported after it has recovered.
TEST(RankSpeedTracker, WithOneSlowRankFindsItUntilItRecovers)
{
    std::mt19937_64 random(2);
    rank_speed_tracker tracker(rankCount);
    recordSteps(tracker, random, 48, 1);
    recordSteps(tracker, random, 48, 1.5);
    EXPECT_NEAR(tracker.speeds()[3], 1 / 1.5, 0.05);
    EXPECT_EQ(tracker.stragglers(), std::vector<rank_id> { rank_id(3) });
    recordSteps(tracker, random, 48, 1);
    EXPECT_EQ(tracker.speeds()[3], 1);
    EXPECT_TRUE(tracker.stragglers().empty());
}

// Guards against reporting a rank as slow because it has more load.
TEST(RankSpeedTracker, WithUnequalLoadsReportsEqualSpeeds)
{
    rank_speed_tracker tracker(3);
    for (int step = 0; step < 48; ++step)
        for (std::uint32_t rank = 0; rank < 3; ++rank)
            tracker.record(rank_id(rank), std::chrono::milliseconds(10 * (rank + 1)), 100.0 * (rank + 1));
    EXPECT_EQ(tracker.speeds(), (std::vector<double> { 1, 1, 1 }));
}

}
